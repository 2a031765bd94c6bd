import test, {type ExecutionContext} from 'ava';
import {ControlCluster} from '../../fixtures/control-cluster.ts';

const nodeCount = 5;
/** Bound of the first deployments for a machine to catch up, in milliseconds. */
const catchUpMs = 4000;
const stepMs = 5;
/** Time after which no message of an earlier process is on its way any more, in milliseconds. */
const inFlightMs = 100;
const seeds = Array.from({length: 20}, (_, index) => index + 1);

function accept(cluster: ControlCluster, node: number, version: number): boolean {
	const callId = cluster.call(node, {type: 'change', command: {type: 'document', document: {version, text: String(version)}}});
	cluster.runUntil(() => cluster.answers.has(callId), 2000);
	return cluster.answers.get(callId)?.type === 'accepted';
}

function started(seed: number): ControlCluster {
	const cluster = new ControlCluster({nodes: nodeCount, seed, parseDocument: () => ({problems: ['not needed']})});
	cluster.startAll();
	cluster.runUntil(() => accept(cluster, 0, 1));
	cluster.run(catchUpMs);
	return cluster;
}

/** Runs on, and returns the oldest version of a node that says that it is current, and how many say so at the end. */
function play(cluster: ControlCluster) {
	let oldest = Number.POSITIVE_INFINITY;
	let current = 0;
	for (const until = cluster.now + catchUpMs; cluster.now < until;) {
		cluster.run(stepMs);
		const statuses = cluster.nodes.map(({core}, index) => core!.status(cluster.clock(index)));
		const versions = statuses.filter(status => status.current).map(({documentVersion = 0}) => documentVersion);
		oldest = Math.min(oldest, ...versions);
		current = versions.length;
	}

	return {oldest, current};
}

function judge(t: ExecutionContext, find: (seed: number) => ReturnType<typeof play> & {readonly newest: number}): void {
	const found = seeds.flatMap(seed => {
		const {oldest, newest, current} = find(seed);
		return oldest === newest && current === nodeCount ? [] : [`seed ${seed}: version ${oldest} of ${newest}, ${current} nodes current in the end`];
	});
	t.deepEqual(found, [], `${found.length} of ${seeds.length} seeds`);
}

test('a control node that was cut off says that it is current only once it has what was accepted meanwhile', t => {
	judge(t, seed => {
		const cluster = started(seed);
		const leader = cluster.leader()!;
		const lagging = (leader + 1 + (seed % (nodeCount - 1))) % nodeCount;
		const others = [...cluster.nodes.keys()].filter(index => index !== lagging);
		cluster.setPartition([lagging], others, true);
		cluster.run(2000);
		t.true(accept(cluster, leader, 2));
		cluster.run(catchUpMs);
		cluster.setPartition([lagging], others, false);
		return {...play(cluster), newest: 2};
	});
});

test('control nodes that lost power say that they are current only once they have what was accepted before', t => {
	judge(t, seed => {
		const cluster = started(seed);
		t.true(accept(cluster, cluster.leader()!, 2));
		for (const index of cluster.nodes.keys()) {
			cluster.kill(index, 1);
		}

		cluster.run(inFlightMs);
		for (const index of cluster.nodes.keys()) {
			cluster.start(index);
		}

		return {...play(cluster), newest: 2};
	});
});
