import test from 'ava';
import {type PlatformEngine} from '../../fakes/platform-engine.ts';
import type {RefusalPlan} from '../../fakes/refusal-plan.ts';
import {platformConfiguration} from '../../fixtures/platform-configuration.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

const workMs = 300;
/** Reports of an engine after which an entry uses it again, whatever it refused before. */
const reportsUntilUsed = 4;

/** A stream that no other target may take up; its connection is kept longer than that of an order. */
const route = {
	name: 'drafts', host: 'prairie.example', 'path-prefix': '/drafts/', kind: 'streaming', service: 'desk', attempts: 1, resumable: false,
	'timeout-ms': 3000, 'target-latency-ms': 400, 'target-gap-ms': 600,
};

function stream(id: string) {
	return {path: '/drafts/1', body: 'draft', headers: {'request-identifier': id, 'token-counts': '10,10'}};
}

test('a stream is sent on a connection whose target still works on another one, after a copy of an earlier refusal, and gets the answer to that one', async t => {
	const deployment = await RoutesDeployment.start({desk: ['d1']});
	t.teardown(async () => deployment.close());
	t.is(await deployment.statusOf('PUT', '/configuration', platformConfiguration(2, [route])), 200);
	await deployment.waitForReports(reportsUntilUsed);
	const [engine] = deployment.desk as readonly [PlatformEngine];
	const plans: RefusalPlan[] = [{
		status: 421, body: '', copies: {
			when: 'next', count: 1, delayMs: 5, parts: 1,
		},
	}];
	engine.workMs = workMs;
	engine.eventCount = 2;
	engine.planRefusal = () => plans.pop();
	const statuses: number[] = [];
	const send = async (id: string) => {
		const res = await deployment.call(stream(id));
		await res.body.dump();
		statuses.push(res.statusCode);
	};

	await send('r-1');
	await deployment.waitForReports(reportsUntilUsed);
	await send('r-2');
	await send('r-3');
	// The refused stream has not run, nothing is known of the second one, and the third one has its own answer.
	t.deepEqual(statuses, [503, 502, 200]);
	t.is(engine.sentBesideRuns, 0);
	t.is(engine.runs.get('r-3'), 1);
});

test('a request is sent on a connection whose last answer was not accepted', async t => {
	const deployment = await RoutesDeployment.start({desk: ['d1']});
	t.teardown(async () => deployment.close());
	const [engine] = deployment.desk as readonly [PlatformEngine];
	const connections: number[] = [];
	for (const manner of ['well', 'unsigned', 'well'] as const) {
		engine.manner = manner;
		const res = await deployment.call({path: '/orders/1', body: 'order'}); // eslint-disable-line no-await-in-loop
		await res.body.dump(); // eslint-disable-line no-await-in-loop
		connections.push(engine.connectionCount);
	}

	t.is(connections[2], connections[1]! + 1);
});
