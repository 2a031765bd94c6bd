import test, {type ExecutionContext} from 'ava';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

async function start(t: ExecutionContext, options: Parameters<typeof RoutesDeployment.start>[0]): Promise<RoutesDeployment> {
	const deployment = await RoutesDeployment.start(options);
	t.teardown(async () => deployment.close());
	return deployment;
}

const streamHeaders = {'token-counts': '100,48', 'prompt-prefix': 'a1:60,b2:40', model: 'm'};

/** Bytes that are read at most before an answer without end is given up: those of the largest buffered answer, and what the sockets hold. */
const maxEndlessBytes = 33_554_432;

// Guards against entries that read what is no answer until they run out of memory, or until the route's timeout.
for (const [way, manner] of [
	['call', 'endless-head'],
	['call', 'endless-body'],
	['call', 'endless-reason'],
	['call', 'endless-interim'],
	['call', 'endless-extension'],
	['forward', 'endless-reason'],
	['forward', 'endless-interim'],
	['forward', 'endless-extension'],
] as const) {
	const title = way === 'call' ? manner : `${manner}, forwarded`;
	test.serial(`bytes without end that are no answer end the attempt and its connection, ${title}`, async t => {
		const deployment = await start(t, {desk: ['d1'], writers: ['w1']});
		for (const [engine, options] of [[deployment.desk[0]!, {path: '/orders/1'}], [deployment.writers[0]!, {path: '/drafts/1', headers: streamHeaders}]] as const) {
			engine.manner = manner;
			const statusOf = async () => {
				try {
					const res = await deployment[way](options);
					await res.body.text();
					return res.statusCode;
				} catch {
					// A stream whose head was passed on is aborted.
					return 'aborted';
				}
			};

			const status = await statusOf(); // eslint-disable-line no-await-in-loop
			t.true(status === 502 || status === 'aborted', String(status));
			t.true(await deployment.waitUntil(() => engine.endlessBytes.length > 0)); // eslint-disable-line no-await-in-loop
			t.true(engine.endlessBytes[0]! <= maxEndlessBytes, `${engine.endlessBytes[0]} bytes were read`);
		}
	});
}
