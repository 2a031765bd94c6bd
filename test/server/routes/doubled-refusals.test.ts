import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

/** Time after a refusal for which the engine counts as full, with a margin, in milliseconds. */
const fullMs = 250;

for (const sender of ['call', 'forward'] as const) {
	const place = sender === 'call' ? 'the entry that was called' : 'an entry that it was forwarded to';
	test(`a request that an engine runs is said not to have run, since an earlier refusal is written again on its connection, at ${place}`, async t => {
		const deployment = await RoutesDeployment.start({desk: ['d1']});
		t.teardown(async () => deployment.close());
		const [engine] = deployment.desk;
		engine!.manner = 'doubled';
		const refused = await deployment[sender]({path: '/calls/1'});
		await refused.body.dump();
		t.is(refused.statusCode, 503);
		await sleep(fullMs);
		const ran = await deployment[sender]({path: '/calls/2', headers: {'request-identifier': 'second'}});
		await ran.body.dump();
		t.is(engine!.runs.get('second'), 1);
		t.is(ran.statusCode, 502);
		t.is(ran.headers['lovageferry-refused'], undefined);
	});

	test(`a request that must not run twice is said not to have run, since its engine wrote a refusal that names no request, at ${place}`, async t => {
		const deployment = await RoutesDeployment.start({desk: ['d1', 'd2']});
		t.teardown(async () => deployment.close());
		for (const engine of deployment.desk) {
			engine.manner = 'nameless';
		}

		const res = await deployment[sender]({path: '/orders/1', body: 'order'});
		await res.body.dump();
		t.is(res.statusCode, 502);
		t.is(deployment.desk.reduce((sum, {receivedRequests}) => sum + receivedRequests.length, 0), 1);
	});
}
