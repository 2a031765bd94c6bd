import test from 'ava';
import {ControlCluster} from '../../fixtures/control-cluster.ts';

const nodes = 5;
const seeds = 5;
/** Time for which a disk is full, and until the next one is, in milliseconds. */
const fullMs = 3000;
const pauseMs = 5000;
/** Time within which a change must be accepted while nothing is disturbed, in milliseconds. */
const acknowledgeMs = 6000;
/** Time within which a call must be answered, in milliseconds. */
const callMs = 2000;

function startCluster(seed: number): ControlCluster {
	const cluster = new ControlCluster({nodes, seed});
	cluster.startAll();
	cluster.runUntil(() => cluster.voters() === nodes);
	return cluster;
}

/** Sends a document to a node until it is accepted; false if it is not accepted in time. */
function accepts(cluster: ControlCluster, index: number, version: number): boolean {
	const endsAt = cluster.now + acknowledgeMs;
	while (cluster.now < endsAt) {
		const callId = cluster.call(index, {type: 'change', command: {type: 'document', document: {version, text: `document ${version}`}}});
		cluster.runUntil(() => cluster.answers.has(callId), acknowledgeMs);
		if (cluster.answers.get(callId)?.type === 'accepted') {
			return true;
		}
	}

	return false;
}

const statusOf = (cluster: ControlCluster, index: number) => cluster.nodes[index]!.core!.status(cluster.clock(index));

// Guards against "the replicated log has no leader" from a node whose own disk is full, while another node leads.
test('a control node whose disk is full passes changes on to the leader, and is not current', t => {
	for (let seed = 1; seed <= seeds; seed++) {
		for (const index of Array.from({length: nodes}).keys()) {
			const cluster = startCluster(seed);
			cluster.nodes[index]!.full = true;
			t.true(accepts(cluster, (index + 1) % nodes, 1));
			cluster.run(fullMs);
			const callId = cluster.call(index, {type: 'change', command: {type: 'document', document: {version: 2, text: 'document 2'}}});
			cluster.run(callMs);
			t.is(cluster.answers.get(callId)?.type, 'accepted', `seed ${seed}, node ${index}: ${JSON.stringify(cluster.answers.get(callId))}`);
			t.like(statusOf(cluster, index), {current: false, consensus: {role: 'stopped'}});
		}
	}
});

// Guards against changes that are refused for good, since each node whose disk was full for a moment stopped voting.
test('changes are accepted while and after the disks of all control nodes are full for a moment, one after another', t => {
	for (let seed = 1; seed <= seeds; seed++) {
		const cluster = startCluster(seed);
		for (const [index, node] of cluster.nodes.entries()) {
			node.full = true;
			cluster.run(fullMs);
			const caller = (index + 1) % nodes;
			t.true(accepts(cluster, caller, index + 1), `seed ${seed}: node ${index} is full`);
			node.full = false;
			cluster.run(pauseMs);
		}

		t.true(accepts(cluster, 0, nodes + 1), `seed ${seed}`);
		t.true(cluster.runUntil(() => cluster.voters() === nodes && cluster.nodes.every((_, index) => statusOf(cluster, index).documentVersion === nodes + 1)), `seed ${seed}`);
		t.true(cluster.nodes.every(({run}) => run === 1));
	}
});
