import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {platformConfiguration} from '../../fixtures/platform-configuration.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

/** Fewer than the target has slots, so that none waits. */
const streams = 4;
const timeoutMs = 20_000;
const headers = {
	'deadline-milliseconds': String(timeoutMs), 'token-counts': '100,48', 'prompt-prefix': 'a1:60,b2:40', model: 'm',
};
/** Grace period of the fixture's entries, in milliseconds. */
const graceMs = 4000;
/** Pause in a stream, longer than the stall timeout of 400 ms and far shorter than the grace period, in milliseconds. */
const pauseMs = 1000;
/** Time for the configuration to be in force, in milliseconds. */
const inForceMs = 500;

type Outcome = {readonly events: number; readonly end: 'whole' | 'cut' | 'refused'};

async function start(t: ExecutionContext): Promise<RoutesDeployment> {
	const deployment = await RoutesDeployment.start({writers: ['w1']});
	t.teardown(async () => deployment.close());
	const route = {
		host: 'prairie.example', name: 'drafts', 'path-prefix': '/drafts/', kind: 'streaming', service: 'writers', 'target-gap-ms': 100, attempts: 2, resumable: true,
	};
	const configuration = platformConfiguration(2, [{...route, 'timeout-ms': timeoutMs, 'target-latency-ms': timeoutMs}]);
	t.is(await deployment.statusOf('PUT', '/configuration', configuration), 200);
	await sleep(inForceMs);
	deployment.writers[0]!.runRecords.length = 0;
	return deployment;
}

async function outcomeOf(call: ReturnType<RoutesDeployment['call']>): Promise<Outcome> {
	const {statusCode, body} = await call;
	let text = '';
	try {
		for await (const chunk of body) {
			text += String(chunk);
		}

		return {events: text.split('\n\n').length - 1, end: statusCode === 200 ? 'whole' : 'refused'};
	} catch {
		return {events: text.split('\n\n').length - 1, end: 'cut'};
	}
}

// Guards against streams of callers of other entries that are cut by the stop of the entry to which they were forwarded.
for (const way of ['call', 'forward'] as const) {
	test(`streams that pause beyond the stall timeout while their entry stops are whole, ${way}`, async t => {
		const deployment = await start(t);
		const [engine] = deployment.writers;
		engine!.workMs = 100;
		engine!.pauseBeforeMs = ({id}) => id === 4 ? pauseMs : 0;
		const outcomes = Array.from({length: streams}, async () => outcomeOf(deployment[way]({path: '/drafts/1', headers})));
		t.true(await deployment.waitUntil(() => engine!.runRecords.filter(({progressAt}) => progressAt.length > 1).length >= streams));
		await deployment.stopEntry();
		t.deepEqual(await Promise.all(outcomes), Array.from({length: streams}, () => ({events: 6, end: 'whole'})));
	});

	test(`streams that outlast the stop of their entry do not look complete, ${way}`, async t => {
		const deployment = await start(t);
		const [engine] = deployment.writers;
		engine!.workMs = graceMs;
		engine!.pauseBeforeMs = ({id}) => id > 1 ? 2 * graceMs : 0;
		const outcomes = Array.from({length: streams}, async () => outcomeOf(deployment[way]({path: '/drafts/1', headers})));
		t.true(await deployment.waitUntil(() => engine!.runRecords.filter(({progressAt}) => progressAt.length > 0).length >= streams));
		await deployment.stopEntry();
		t.deepEqual(await Promise.all(outcomes), Array.from({length: streams}, () => ({events: 1, end: 'cut'})));
	});
}
