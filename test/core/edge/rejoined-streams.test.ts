import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import {controlTiming} from '../../../src/core/control/control-timing.ts';
import type {SoftwareVersion} from '../../../src/core/ids/software-version.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {Zone} from '../../../src/core/ids/zone.ts';
import {ReturningCallers} from '../../fixtures/returning-callers.ts';
import {SimulatedDeployment} from '../../fixtures/simulated-deployment.ts';

const v2 = toId<SoftwareVersion>('v2');
const zones = [toId<Zone>('regina-a'), toId<Zone>('winnipeg-a')];
const targetsPerRegion = 3;
const drainMs = 1500;
const seeds = 10;
/** Entries of a region that is large enough to have placers. */
const entriesWithPlacers = 9;
/** Latest time after the release at which processes are killed, in milliseconds. */
const lastKillMs = 3000;

type Scenario = {
	readonly title: string;
	/** Time for which one version serves before the release, in milliseconds. @default 3000 */
	readonly calmMs?: number;
	readonly release: (deployment: SimulatedDeployment) => void;
	/** Entries that are killed, by index. @default all */
	readonly entries?: readonly number[];
	/** True if control nodes are killed too. */
	readonly withControl?: boolean;
	/** Least share of the streams taken up, of versions that serve on, that reach their end. */
	readonly leastWhole: number;
};

const scenarios: readonly Scenario[] = [
	{
		title: 'all entries, while two versions serve side by side',
		release(deployment) {
			addNewVersion(deployment, zones);
		},
		leastWhole: 0.6,
	},
	{
		title: 'all entries, while the targets of the old version leave',
		release: replaceTargets,
		leastWhole: 0.6,
	},
	{
		title: 'all entries, while targets start again with other software under their ids',
		release(deployment) {
			for (const target of deployment.targets) {
				target.restart(v2, drainMs);
			}
		},
		leastWhole: 0.6,
	},
	{
		title: 'the entries of one region, in which a new version comes up',
		// Longer than the time for which entries remember software versions.
		calmMs: controlTiming.streamRetentionMs + 3000,
		release(deployment) {
			addNewVersion(deployment, zones.slice(1));
		},
		entries: [3, 4, 5],
		leastWhole: 0.6,
	},
	{
		title: 'all entries and control nodes, while the targets of the old version leave',
		release: replaceTargets,
		withControl: true,
		// All that knew where streams began is gone.
		leastWhole: 0,
	},
];

function addNewVersion(deployment: SimulatedDeployment, where: readonly Zone[]): void {
	for (const zone of where) {
		for (let index = 0; index < targetsPerRegion; index++) {
			deployment.addTarget({name: `${zone}-new-${index}`, zone, softwareVersion: v2});
		}
	}
}

function replaceTargets(deployment: SimulatedDeployment): void {
	const old = [...deployment.targets];
	addNewVersion(deployment, zones);
	for (const target of old) {
		target.leave(drainMs);
	}
}

for (const scenario of scenarios) {
	test(`no stream is joined from two versions after a kill of ${scenario.title}`, t => {
		let joined = 0;
		let takenUp = 0;
		let whole = 0;
		for (let seed = 1; seed <= seeds; seed++) {
			const {callers, servingVersions} = play(scenario, seed);
			joined += callers.filter(caller => isJoined(caller)).length;
			const servable = callers.filter(({tookUp, pieces}) => tookUp && servingVersions.has(pieces[0]!.softwareVersion));
			takenUp += servable.length;
			whole += servable.filter(({completed}) => completed).length;
		}

		t.is(joined, 0);
		t.true(takenUp >= seeds);
		t.true(whole >= scenario.leastWhole * takenUp, `${whole} of ${takenUp}`);
	});
}

/** Kills entries within three seconds of a release, while callers come. */
function play({calmMs = 3000, release, entries, withControl = false}: Scenario, seed: number) {
	const deployment = new SimulatedDeployment({seed, events: 20, targetsPerRegion});
	deployment.start();
	deployment.run(calmMs);
	const callers = new ReturningCallers(deployment, seed);
	callers.come({perSecond: 60, ms: 5000, entries});
	deployment.run(1000);
	release(deployment);
	deployment.run(lastKillMs * seed / seeds);
	if (withControl) {
		deployment.restartAll();
	}

	for (const index of withControl ? [] : (entries ?? deployment.entries.keys())) {
		deployment.startEntry(index);
	}

	deployment.run(9000);
	const servingVersions = new Set(deployment.targets.flatMap(target => target.report()?.state === 'serving' ? [target.softwareVersion] : []));
	return {callers: callers.results(), servingVersions};
}

test('no stream is joined from two versions, whatever is released, killed and cut, and in which order', t => {
	let takenUp = 0;
	for (let seed = 1; seed <= seeds; seed++) {
		const callers = playRandomSteps(seed);
		t.deepEqual(callers.filter(caller => isJoined(caller)), [], `seed ${seed}`);
		takenUp += callers.filter(({tookUp, completed}) => tookUp && completed).length;
	}

	t.true(takenUp >= 10 * seeds, `${takenUp}`);
});

function playRandomSteps(seed: number) {
	const random = new SeededRandom(seed);
	const pick = (count: number) => Math.floor(random.next() * count);
	const deployment = new SimulatedDeployment({
		seed, events: 20, targetsPerRegion, entriesPerRegion: seed % 3 === 0 ? entriesWithPlacers : 3,
	});
	const {control, entries, targets} = deployment;
	let releases = 1;
	const release = (where: readonly Zone[]) => {
		releases += 1;
		for (const zone of where) {
			deployment.addTarget({name: `${zone}-${releases}`, zone, softwareVersion: toId<SoftwareVersion>(`v${releases}`)});
		}
	};

	const steps = [
		() => {
			release(zones);
		},
		() => {
			release(zones.slice(pick(zones.length)));
		},
		() => {
			const old = [...targets];
			release(zones);
			for (const target of old) {
				target.leave(drainMs);
			}
		},
		() => {
			const index = pick(control.nodes.length);
			control.kill(index, 1);
			control.start(index, {bootMs: pick(1500)});
		},
		() => {
			const index = pick(control.nodes.length);
			control.setPartition([index], [(index + 1) % control.nodes.length], random.next() < 0.6);
		},
		() => {
			const killed = pick(2) === 0 ? entries : entries.filter(({region}) => region === entries[0]!.region);
			for (const {index} of killed) {
				deployment.startEntry(index);
			}
		},
	];

	deployment.start();
	const callers = new ReturningCallers(deployment, seed);
	callers.come({perSecond: 40, ms: 12_000});
	for (let count = 0; count < 16; count++) {
		deployment.run(300 + pick(900));
		steps[pick(steps.length)]!();
	}

	deployment.run(6000);
	return callers.results();
}

function isJoined({pieces}: ReturnType<ReturningCallers['results']>[number]): boolean {
	return new Set(pieces.map(({softwareVersion}) => softwareVersion)).size > 1;
}
