import test from 'ava';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

const order = {path: '/orders/1', body: 'order', headers: {'request-identifier': 'order-1'}};

for (const way of ['call', 'forward'] as const) {
	// Guards against requests that are sent elsewhere, or refused as not run, since their target bears the mark of an entry's refusal in its answer.
	test.serial(`a target whose answer bears the mark of an entry's refusal is taken for one that has not run the request, ${way}`, async t => {
		const deployment = await RoutesDeployment.start({desk: ['d1']});
		t.teardown(async () => deployment.close());
		const [engine] = deployment.desk;
		engine!.manner = 'raw';
		engine!.rawAnswer = {
			statusLine: 'HTTP/1.1 503 Odd', headers: 'Request-Identifier: order-1\r\nLovageferry-Refused: overloaded\r\nContent-Length: 3\r\n', text: 'odd', end: 'close',
		};

		const res = await deployment[way](order);
		await res.body.dump();
		t.is(res.statusCode, 502);
	});

	test.serial(`the mark of an entry's refusal in an answer of a target is passed on, ${way}`, async t => {
		const deployment = await RoutesDeployment.start({desk: ['d1']});
		t.teardown(async () => deployment.close());
		const [engine] = deployment.desk;
		engine!.manner = 'raw';
		engine!.rawAnswer = {
			statusLine: 'HTTP/1.1 200 OK', headers: 'Request-Identifier: order-1\r\nServer-Signature: d1.sig\r\nLovageferry-Refused: overloaded\r\nContent-Length: 3\r\n', text: 'odd', end: 'close',
		};
		const res = await deployment[way](order);
		await res.body.dump();
		t.is(res.statusCode, 200);
		t.is(res.headers['lovageferry-refused'], undefined);
	});
}
