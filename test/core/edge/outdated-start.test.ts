import test, {type ExecutionContext} from 'ava';
import {FollowedControl} from '../../fixtures/followed-control.ts';

/** Bounds of the first deployments, in milliseconds: for a machine to catch up, and for a deployment to serve after all of it was lost. */
const catchUpMs = 4000;
const recoveryMs = 12_000;
/** Time within which an accepted change must be in force, in milliseconds. */
const applyMs = 3000;
const stepMs = 10;
/** Time after which a control node has recorded what it knows to be committed, in milliseconds. */
const recordMs = 500;
/** Shortest time to an election, in milliseconds. */
const leastElectionMs = 1200;
/** Time after which no message is on its way any more, in milliseconds: connections end with their processes. */
const inFlightMs = 100;
const nodeCount = 5;
const entryCount = 6;
const seeds = Array.from({length: 30}, (_, index) => index + 1);

type Deployment = {readonly followed: FollowedControl; readonly lagging: readonly number[]; readonly newest: number};

/** A deployment of five voters, two of which lack the newest versions since they were cut off from the others. */
function lagged(seed: number): Deployment {
	const followed = new FollowedControl({seed, nodes: nodeCount, entries: entryCount});
	const {cluster} = followed;
	cluster.startAll();
	followed.startEntries();
	cluster.runUntil(() => followed.accept(0, 1));
	cluster.run(catchUpMs);
	const leader = cluster.leader()!;
	const lagging = [(leader + 1) % nodeCount, (leader + 1 + (seed % (nodeCount - 1))) % nodeCount].filter((node, index, nodes) => node !== leader && nodes.indexOf(node) === index);
	cluster.setPartition(lagging, [...cluster.nodes.keys()].filter(index => !lagging.includes(index)), true);
	let newest = 1;
	for (let version = 2; version <= 4; version++) {
		newest = followed.accept(leader, version) ? version : newest;
	}

	return {followed, lagging, newest};
}

/** Takes the power from everything, and returns it except to some control nodes; returns the oldest version that any entry had in force in the time given, the oldest one once a change that was accepted before must be, and the time until all had one. */
function restart({followed}: Deployment, {lost = [], ms}: {lost?: readonly number[]; ms: number}) {
	const {cluster} = followed;
	const dueAt = cluster.now + applyMs;
	for (const index of cluster.nodes.keys()) {
		// One write that was not synced is on the disk.
		cluster.kill(index, 1);
	}

	cluster.run(inFlightMs);
	cluster.cut.clear();
	for (const index of cluster.nodes.keys()) {
		if (!lost.includes(index)) {
			cluster.start(index);
		}
	}

	followed.restartEntries();
	const restartedAt = cluster.now;
	let oldest = Number.POSITIVE_INFINITY;
	let oldestDue = Number.POSITIVE_INFINITY;
	let readyMs: number | undefined;
	while (cluster.now < restartedAt + ms) {
		cluster.run(stepMs);
		const versions = followed.entries.map(({documentVersion}) => documentVersion);
		oldest = Math.min(oldest, ...versions.filter(version => version !== undefined));
		oldestDue = cluster.now < dueAt ? oldestDue : Math.min(oldestDue, ...versions.filter(version => version !== undefined));
		readyMs ??= versions.includes(undefined) ? undefined : cluster.now - restartedAt;
	}

	return {oldest, oldestDue, readyMs};
}

/** Plays all seeds; `find` returns what is wrong with one. */
function judge(t: ExecutionContext, find: (seed: number) => string | undefined): void {
	const found = seeds.flatMap(seed => {
		const problem = find(seed);
		return problem === undefined ? [] : [`seed ${seed}: ${problem}`];
	});
	t.deepEqual(found, [], `${found.length} of ${seeds.length} seeds`);
}

test('entries that restart with their control nodes are ready before an election, and serve by the newest accepted version once it is due', t => {
	judge(t, seed => {
		const deployment = lagged(seed);
		const {oldest, oldestDue, readyMs = Number.POSITIVE_INFINITY} = restart(deployment, {ms: recoveryMs});
		// Only the change that was accepted in the last moment may be missing until the election.
		const isServed = oldest >= deployment.newest - 1 && oldestDue === deployment.newest && readyMs < leastElectionMs;
		return isServed ? undefined : `version ${oldest}, then ${oldestDue} in force, ${deployment.newest} accepted, ready after ${readyMs} ms`;
	});
});

test('entries that restart where control nodes lag and others come back later serve by no version older than the newest accepted one', t => {
	judge(t, seed => {
		const deployment = lagged(seed);
		const {followed: {cluster}, lagging} = deployment;
		const late = [...cluster.nodes.keys()].filter(index => !lagging.includes(index));
		for (const index of late) {
			cluster.events.scheduleAfter(inFlightMs + catchUpMs, () => {
				cluster.start(index);
			});
		}

		const {oldest, readyMs} = restart(deployment, {lost: late, ms: recoveryMs});
		return oldest < deployment.newest || readyMs === undefined ? `version ${oldest} in force, ${deployment.newest} accepted, ready after ${readyMs} ms` : undefined;
	});
});

test('entries that restart while no control node leads for long serve by the newest version that any of those they reach has', t => {
	judge(t, seed => {
		const deployment = lagged(seed);
		const {followed, lagging} = deployment;
		const {cluster, events} = followed;
		const kept = new Set([lagging[0]!, [...cluster.nodes.keys()].findLast(index => !lagging.includes(index))!]);
		const lost = [...cluster.nodes.keys()].filter(index => !kept.has(index));
		events.length = 0;
		const {oldest, readyMs} = restart(deployment, {lost, ms: recoveryMs});
		const newest = Math.max(...[...kept].map(index => cluster.nodes[index]!.core!.status(cluster.clock(index)).documentVersion!));
		const started = events.filter(({event}) => event === 'started-without-leader').filter(({fields}) => fields.basis === 'waited' && fields.version === newest);
		const isServed = oldest === newest && readyMs !== undefined && started.length === entryCount;
		return isServed ? undefined : `version ${oldest} in force, ${newest} known, ready after ${readyMs} ms, ${started.length} events`;
	});
});

test('entries that restart with their control nodes do not wait for an election where a majority has all that was accepted', t => {
	judge(t, seed => {
		const deployment = lagged(seed);
		deployment.followed.cluster.run(recordMs);
		const {oldest, readyMs} = restart(deployment, {ms: leastElectionMs});
		return oldest === deployment.newest && readyMs !== undefined ? undefined : `version ${oldest} in force, ${deployment.newest} accepted, ready after ${readyMs} ms`;
	});
});
