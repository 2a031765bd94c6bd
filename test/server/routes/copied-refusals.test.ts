import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type {EdgeEvent} from '../../../src/core/edge/edge-event.ts';
import type {RequestId} from '../../../src/core/ids/request-id.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {PlatformEngine} from '../../fakes/platform-engine.ts';
import type {RefusalPlan} from '../../fakes/refusal-plan.ts';
import {refuseOnce} from '../../fakes/refuse-once.ts';
import {platformConfiguration} from '../../fixtures/platform-configuration.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';
import {targetClientFixture} from '../../fixtures/target-client-fixture.ts';

/** Time after which a connection is idle again, in milliseconds. */
const settleMs = 50;
/** Work of an engine, in milliseconds: longer than the time until it writes a refusal once more. */
const workMs = 100;
/** Reports of an engine after which an entry uses it again, whatever it refused before. */
const reportsUntilUsed = 4;
const common = {
	host: 'prairie.example', 'timeout-ms': 3000, 'target-latency-ms': 400, 'target-gap-ms': 600, service: 'desk',
};
/** Neither kind may run twice: connections are kept longer for streams than for orders. */
const routes = [
	{
		...common, name: 'calls', 'path-prefix': '/calls/', kind: 'safe', attempts: 2,
	},
	{
		...common, name: 'orders', 'path-prefix': '/orders/', kind: 'unsafe', attempts: 1,
	},
	{
		...common, name: 'drafts', 'path-prefix': '/drafts/', kind: 'streaming', attempts: 2, resumable: false,
	},
];
const order = {path: '/orders/1', body: 'order', headers: {'request-identifier': 'r-1'}};
const stream = {path: '/drafts/1', body: 'draft', headers: {'request-identifier': 'r-1', 'token-counts': '10,10'}};

async function start(t: ExecutionContext, status: RefusalPlan['status']) {
	const deployment = await RoutesDeployment.start({desk: ['d1']});
	t.teardown(async () => deployment.close());
	t.is(await deployment.statusOf('PUT', '/configuration', platformConfiguration(2, routes)), 200);
	await deployment.waitForReports(reportsUntilUsed);
	const [engine] = deployment.desk;
	Object.assign(engine!, {planRefusal: refuseOnce(status), workMs});
	return {deployment, engine: engine!};
}

for (const sender of ['call', 'forward'] as const) {
	const place = sender === 'call' ? 'the entry that was called' : 'an entry that it was forwarded to';
	for (const status of [503, 429, 421] as const) {
		test(`a stream that its caller sends again is said not to have run though it ran, since its engine writes the refusal once more: ${status} at ${place}`, async t => {
			const {deployment, engine} = await start(t, status);
			const refused = await deployment[sender](stream);
			await refused.body.dump();
			t.is(refused.statusCode, 503);
			await deployment.waitForReports(reportsUntilUsed);
			const ran = await deployment[sender](stream);
			await ran.body.dump();
			t.is(engine.runs.get('r-1'), 1);
			t.is(ran.statusCode, 200);
		});
	}

	test(`an order that its caller sends again at once is said not to have run though it ran, since its engine writes the refusal once more, at ${place}`, async t => {
		const {deployment, engine} = await start(t, 503);
		const refused = await deployment[sender](order);
		await refused.body.dump();
		t.is(refused.statusCode, 503);
		const ran = await deployment[sender](order);
		await ran.body.dump();
		t.is(engine.runs.get('r-1'), 1);
		t.is(ran.statusCode, 200);
	});
}

test('an order that an entry sends to the new id of an engine that has refused it is said not to have run though it ran, since the engine writes the refusal once more', async t => {
	const engine = new PlatformEngine('d2');
	Object.assign(engine, {planRefusal: refuseOnce(421), workMs});
	await engine.listen();
	t.teardown(async () => engine.close());
	const client = targetClientFixture(t);
	const heads: EdgeEvent[] = [];
	for (const targetId of ['d1', 'd2'].map(name => toId<TargetId>(name))) {
		// eslint-disable-next-line no-await-in-loop
		heads.push(await client.send({
			key: 'r-1', requestId: toId<RequestId>('r'), address: engine.address, targetId, fresh: true,
		}));
	}

	t.is(engine.runs.get('r-1'), 1);
	t.like(heads, [{head: {status: 421}}, {head: {status: 200}}]);
});

test('a request whose id is used again after a success is sent on a connection that has carried it', async t => {
	const engine = new PlatformEngine('d1');
	await engine.listen();
	t.teardown(async () => engine.close());
	const client = targetClientFixture(t, {isOutcome: ({type}) => type === 'attempt-head'});
	const connections: unknown[] = [];
	for (let count = 0; count < 3; count++) {
		const event = await client.send({key: 'r-1', address: engine.address, targetId: toId<TargetId>('d1')}); // eslint-disable-line no-await-in-loop
		connections.push(event.type === 'attempt-head' && event.head.use?.connection);
		await sleep(settleMs); // eslint-disable-line no-await-in-loop
	}

	t.is(new Set(connections).size, 3);
});
