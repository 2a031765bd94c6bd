import test from 'ava';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {Zone} from '../../../src/core/ids/zone.ts';
import {ControlCluster} from '../../fixtures/control-cluster.ts';

const zone = toId<Zone>('regina-a');
/** Time that an operator waits for an answer, in milliseconds. */
const patienceMs = 1000;
const seeds = [1, 2, 3, 4];

function startCluster(seed: number): ControlCluster {
	const cluster = new ControlCluster({nodes: 5, seed});
	cluster.startAll();
	cluster.runUntil(() => cluster.voters() === 5);
	cluster.run(1000);
	return cluster;
}

/** A node that doesn't lead, and all others. */
function followerAndOthers(cluster: ControlCluster): readonly [number, readonly number[]] {
	const leader = cluster.leader()!;
	const follower = [...cluster.nodes.keys()].find(index => index !== leader)!;
	return [follower, [...cluster.nodes.keys()].filter(index => index !== follower)];
}

function order(cluster: ControlCluster, index: number, active: boolean): string {
	const basis = cluster.nodes[index]!.core!.evacuationBasis(zone);
	return cluster.call(index, {
		type: 'change',
		command: {
			type: 'evacuation', zone, active, basis,
		},
	});
}

/** Zones that are evacuated in the view of the leader. */
function evacuated(cluster: ControlCluster): readonly Zone[] {
	const leader = cluster.leader()!;
	return cluster.nodes[leader]!.core!.status(cluster.clock(leader)).evacuated;
}

// Guards against an order that takes effect after its operator has taken it to another node, where newer ones have followed.
test('an order that waits for the leader longer than its operator for it is not proposed any more', t => {
	for (const seed of seeds) {
		const cluster = startCluster(seed);
		const [follower, others] = followerAndOthers(cluster);
		cluster.setPartition([follower], others, true);
		const callId = order(cluster, follower, true);
		cluster.run(patienceMs + 100);
		cluster.setPartition([follower], others, false);
		cluster.run(3000);
		t.is(cluster.answers.get(callId)?.type, 'unavailable', `seed ${seed}`);
		t.deepEqual(evacuated(cluster), [], `seed ${seed}`);
	}
});

// Guards against an order whose operator has left before the leader could be asked.
test('an order whose operator leaves while it waits for the leader is not proposed any more', t => {
	for (const seed of seeds) {
		const cluster = startCluster(seed);
		const [follower, others] = followerAndOthers(cluster);
		cluster.setPartition([follower], others, true);
		const callId = order(cluster, follower, true);
		cluster.run(100);
		cluster.step(follower, {type: 'call-abandoned', callId});
		cluster.setPartition([follower], others, false);
		cluster.run(3000);
		t.deepEqual(evacuated(cluster), [], `seed ${seed}`);
	}
});
