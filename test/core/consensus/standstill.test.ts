import test from 'ava';
import {ControlCluster} from '../../fixtures/control-cluster.ts';

const nodes = 5;
const seeds = 10;
/** Time in which a leader is elected after the last one is gone: its silence, the longest random addition and a second try, in milliseconds. */
const electionMs = 4000;

/** A cluster with a leader and all voters. */
function startCluster(seed: number): ControlCluster {
	const cluster = new ControlCluster({nodes, seed});
	cluster.startAll();
	cluster.runUntil(() => cluster.leader() !== undefined && cluster.voters() === nodes);
	cluster.run(1000);
	return cluster;
}

const terms = (cluster: ControlCluster) => cluster.nodes.map(({core}, index) => core!.status(cluster.clock(index)).consensus.term);

/** Lets nodes stand still together; each of them runs its timers before it reads what has arrived meanwhile. */
function standStill(cluster: ControlCluster, indexes: readonly number[], ms: number): void {
	for (const index of indexes) {
		cluster.freeze(index, true);
	}

	cluster.run(ms);
	for (const index of indexes) {
		const {held} = cluster.nodes[index]!;
		// A process gets one tick after a standstill.
		held!.splice(0, held!.length, {type: 'tick'}, ...held!.filter(({type}) => type !== 'tick'));
	}

	for (const index of indexes) {
		cluster.freeze(index, false);
	}
}

for (const standstillMs of [1000, 2000, 5000]) {
	test(`a leader stays while all control nodes stand still together for ${standstillMs} ms`, t => {
		for (let seed = 1; seed <= seeds; seed++) {
			const cluster = startCluster(seed);
			const before = {leader: cluster.leader(), terms: terms(cluster)};
			standStill(cluster, [...cluster.nodes.keys()], standstillMs);
			cluster.run(3000);
			t.deepEqual({leader: cluster.leader(), terms: terms(cluster)}, before, `seed ${seed}`);
		}
	});

	test(`a leader that goes while the others stand still for ${standstillMs} ms is replaced in time`, t => {
		for (let seed = 1; seed <= seeds; seed++) {
			const cluster = startCluster(seed);
			const leader = cluster.leader()!;
			cluster.kill(leader);
			standStill(cluster, [...cluster.nodes.keys()].filter(index => index !== leader), standstillMs);
			t.true(cluster.runUntil(() => cluster.leader() !== undefined, electionMs), `seed ${seed}`);
		}
	});
}
