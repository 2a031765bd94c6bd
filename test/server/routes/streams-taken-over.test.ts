import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import type {PlatformEngine} from '../../fakes/platform-engine.ts';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import {SoakDeployment} from '../../soak/soak-deployment.ts';
import {soakConfiguration} from '../../soak/soak-configuration.ts';
import {soakStreams} from '../../soak/soak-streams.ts';
import {streamProblem} from '../../soak/stream-problem.ts';
import {waitUntil} from '../../soak/wait-until.ts';

const streams = 6;
const headers = {
	host: 'prairie.example', 'deadline-milliseconds': String(soakStreams.timeoutMs), 'token-counts': '100,40', 'prompt-prefix': 'a1:60,b2:40', model: 'm',
};
const path = soakStreams.paths[0]!;
const startTimeoutMs = 30_000;
/** Time after which entries know that targets have left, in milliseconds. */
const leftMs = 1500;

/** Starts processes of three regions with one entry each, whose targets write long streams, and waits until each entry serves. */
async function start(t: ExecutionContext): Promise<SoakDeployment> {
	const deployment = await SoakDeployment.create({entriesPerRegion: 1, random: new SeededRandom(1)});
	t.teardown(async () => deployment.dispose({keepFolder: false}));
	await deployment.start();
	t.true(await waitUntil(async () => {
		const answer = await deployment.callOperatorApi(deployment.control[0]!, 'PUT', '/configuration', soakConfiguration(1));
		return answer?.status === 200;
	}, startTimeoutMs));
	t.true(await waitUntil(async () => {
		const problems = await Promise.all(deployment.entries.map(async ({name}) => problemOf(deployment, name, 'first')));
		return problems.every(problem => problem === undefined);
	}, startTimeoutMs));
	for (const {engine} of deployment.engines) {
		engine.eventCount = soakStreams.eventCount;
		engine.runRecords.length = 0;
	}

	return deployment;
}

/** Sends a stream to an entry; undefined if all of it came. */
async function problemOf(deployment: SoakDeployment, entry: string, id: string): Promise<string | undefined> {
	const node = deployment.entries.find(({name}) => name === entry)!;
	const {eventCount} = deployment.engines[0]!.engine;
	let text = '';
	try {
		const res = await request(`http://${node.address('callers')}${path}`, {method: 'POST', headers: {...headers, 'request-identifier': id}});
		for await (const chunk of res.body) {
			text += String(chunk);
		}

		return res.statusCode === 200 ? streamProblem(text, eventCount) : `status ${res.statusCode}`;
	} catch (error) {
		return `${(error as Error).message} after ${text.split('\n\n').length - 1} events`;
	}
}

function targetsIn(deployment: SoakDeployment, region: string) {
	return deployment.engines.filter(target => target.service === 'writers' && target.region === region).map(({engine}) => engine);
}

/** Lets targets leave, as after a release. */
async function remove(deployment: SoakDeployment, engines: readonly PlatformEngine[]): Promise<void> {
	for (const target of deployment.engines.filter(({engine}) => engines.includes(engine))) {
		target.state = 'gone';
		await deployment.callOperatorApi(deployment.control[0]!, 'DELETE', `/instances/${target.engine.identifier}`); // eslint-disable-line no-await-in-loop
	}

	await sleep(leftMs);
}

// Guards against streams that are given up at a target which only pauses, though no other target takes them.
test.serial('streams whose target pauses go on there if all other targets refuse them', async t => {
	const deployment = await start(t);
	const [pausing, ...rest] = targetsIn(deployment, 'regina');
	await remove(deployment, rest);
	for (const engine of [...targetsIn(deployment, 'saskatoon'), ...targetsIn(deployment, 'winnipeg')]) {
		engine.manner = 'full';
	}

	pausing!.pauseBeforeMs = ({id}) => id === 10 ? 4 * soakStreams.stallMs(path) : 0;
	const problems = await Promise.all(Array.from({length: streams}, async (_, index) => problemOf(deployment, 'regina-1', `paused-${index}`)));
	t.deepEqual(problems.filter(problem => problem !== undefined), []);
});

// Guards against streams of callers of one entry that are cut by the stop of another one, to which they were forwarded.
for (const [name, eventMs] of [['within', 50], ['beyond', 200]] as const) {
	test.serial(`forwarded streams that last ${name} the stop of the other entry are whole`, async t => {
		const deployment = await start(t);
		await remove(deployment, targetsIn(deployment, 'regina'));
		const remote = [...targetsIn(deployment, 'saskatoon'), ...targetsIn(deployment, 'winnipeg')];
		for (const engine of remote) {
			engine.workMs = eventMs;
		}

		const answers = Promise.all(Array.from({length: streams}, async (_, index) => problemOf(deployment, 'regina-1', `forwarded-${index}`)));
		t.true(await waitUntil(() => remote.reduce((sum, {runRecords}) => sum + runRecords.length, 0) === streams, startTimeoutMs));
		const busiest = remote.toSorted((left, right) => right.runRecords.length - left.runRecords.length)[0]!.identifier.split('-')[0];
		await deployment.entries.find(({region}) => region === busiest)!.end('SIGTERM');
		const problems = await answers;
		t.deepEqual(problems.filter(problem => problem !== undefined), []);
	});
}
