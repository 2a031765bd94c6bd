import test from 'ava';
import {platformConfiguration} from '../../fixtures/platform-configuration.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

const maxBodyBytes = 4_194_304;
/** Larger than what the sockets of a connection hold, so that it is still being written when its target answers. */
const longUpload = 'x'.repeat(maxBodyBytes - 1);

async function start(): Promise<RoutesDeployment> {
	const deployment = await RoutesDeployment.start({desk: ['d1']});
	const configuration = JSON.parse(platformConfiguration(2)) as {limits: Record<string, number>};
	configuration.limits['max-body-bytes'] = maxBodyBytes;
	await deployment.statusOf('PUT', '/configuration', JSON.stringify(configuration));
	return deployment;
}

for (const way of ['call', 'forward'] as const) {
	for (const status of ['000', '099', '600', '999']) {
		// Guards against statuses that are none, which callers' clients can't handle.
		test.serial(`a status that is none is a fault of the target: the caller gets 502, ${way}, ${status}`, async t => {
			const deployment = await start();
			t.teardown(async () => deployment.close());
			const [engine] = deployment.desk;
			engine!.manner = 'raw';
			engine!.rawAnswer = {
				statusLine: `HTTP/1.1 ${status} Odd`, headers: 'Content-Length: 5\r\n', text: 'whole', end: 'close',
			};
			const res = await deployment[way]({path: '/orders/1', body: 'order'});
			await res.body.dump();
			t.is(res.statusCode, 502);
		});
	}

	for (const [end, headers] of [['close', ''], ['close', 'Connection: close\r\n'], ['reset', ''], ['reset', 'Connection: close\r\n']] as const) {
		// Guards against half an answer that is passed on as whole because its connection ended before the request was written.
		test.serial(`an answer without a length that ends before the upload was written is never passed on as complete, ${way}, ${end}${headers === '' ? '' : ', closing'}`, async t => {
			const deployment = await start();
			t.teardown(async () => deployment.close());
			const [engine] = deployment.desk;
			engine!.manner = 'raw';
			engine!.rawAnswer = {
				statusLine: 'HTTP/1.1 200 OK', headers, text: 'half of it', end,
			};
			const res = await deployment[way]({path: '/orders/1', body: longUpload});
			await res.body.dump();
			t.is(res.statusCode, 502);
		});
	}
}
