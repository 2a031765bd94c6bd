import test from 'ava';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

const order = {path: '/orders/1', body: 'order', headers: {'request-identifier': 'order-1'}};

// Guards against requests that are sent elsewhere, or refused as not run, since their target bears the mark of an entry's refusal in its answer.
for (const [title, statusLine, signature, status] of [
	['a target whose answer bears the mark of an entry\'s refusal is taken for one that has not run the request', 'HTTP/1.1 503 Odd', '', 502],
	['the mark of an entry\'s refusal in an answer of a target is passed on', 'HTTP/1.1 200 OK', 'Server-Signature: d1.sig\r\n', 200],
] as const) {
	for (const way of ['call', 'forward'] as const) {
		test.serial(`${title}, ${way}`, async t => {
			const deployment = await RoutesDeployment.start({desk: ['d1']});
			t.teardown(async () => deployment.close());
			Object.assign(deployment.desk[0]!, {
				manner: 'raw', rawAnswer: {
					statusLine, headers: `Request-Identifier: order-1\r\n${signature}Lovageferry-Refused: overloaded\r\nContent-Length: 3\r\n`, text: 'odd', end: 'close',
				},
			});
			const res = await deployment[way](order);
			await res.body.dump();
			t.is(res.statusCode, status);
			t.is(res.headers['lovageferry-refused'], undefined);
		});
	}
}
