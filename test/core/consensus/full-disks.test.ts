import test from 'ava';
import {SimCluster} from '../../fixtures/sim-cluster.ts';
import {makeChange} from '../tree/make-change.ts';

const members = 5;
const seeds = 5;
/** Time for which a disk is full, and from the beginning of one such time to the next, in milliseconds. */
const fullMs = 3000;
const roundMs = 20_000;
/** Time within which a change must be accepted while nothing is disturbed, in milliseconds. */
const acceptMs = 6000;

function startCluster(seed: number): SimCluster {
	const cluster = new SimCluster({members, seed, limits: {snapshotEntries: 8, keptEntries: 4}});
	for (const nodeId of cluster.nodes.keys()) {
		cluster.start(nodeId);
	}

	cluster.runUntil(() => cluster.leader() !== undefined);
	return cluster;
}

/** Submits a change to the leader until it is accepted; false if it is not accepted in time. */
function accepts(cluster: SimCluster, number: number): boolean {
	return cluster.runUntil(() => {
		const leader = cluster.leader();
		if (leader === undefined) {
			return false;
		}

		if (cluster.process(leader).state.tree.revision < number) {
			cluster.act(leader, (process, now) => {
				process.service.submit(makeChange({number}), now);
			});
		}

		return cluster.process(leader).state.tree.revision >= number;
	}, acceptMs);
}

const votes = (cluster: SimCluster, name: string) => ['leader', 'follower'].includes(cluster.process(name).member!.status().role);

// Guards against a log that accepts nothing any more, since each member whose disk was full for a moment stopped for good.
test('changes are accepted after the disks of all members were full for a moment, one after another', t => {
	for (let seed = 1; seed <= seeds; seed++) {
		const cluster = startCluster(seed);
		const names = [...cluster.controlIds];
		for (let number = 1; names.length > 0; number++) {
			const leader = cluster.leader()!;
			const name = names.includes(cluster.node(leader).nodeId) ? leader : names[0]!;
			names.splice(names.indexOf(cluster.node(name).nodeId), 1);
			cluster.node(name).full = true;
			t.true(accepts(cluster, number), `seed ${seed}: change ${number} while the disk of ${name} is full`);
			t.is(cluster.process(name).member!.status().role, 'stopped');
			cluster.run(fullMs);
			cluster.node(name).full = false;
			cluster.run(roundMs - fullMs);
		}

		t.true(accepts(cluster, members + 1), `seed ${seed}`);
		t.true(cluster.runUntil(() => cluster.controlIds.every(name => votes(cluster, name))), `seed ${seed}: all vote again`);
	}
});

// Guards against a new member that is never founded or joined, since its first write failed.
test('a member whose disk is full when it starts empty votes once the disk has room', t => {
	for (let seed = 1; seed <= seeds; seed++) {
		const cluster = startCluster(seed);
		t.true(accepts(cluster, 1));
		cluster.crash('c3');
		cluster.node('c3').full = true;
		cluster.start('c3', {emptyDisk: true});
		cluster.run(fullMs);
		t.true(accepts(cluster, 2), `seed ${seed}`);
		cluster.node('c3').full = false;
		t.true(cluster.runUntil(() => votes(cluster, 'c3') && cluster.process('c3').state.tree.revision === 2), `seed ${seed}`);
	}
});

test('the log is founded though the disk of an initial member is full at the first start', t => {
	for (let seed = 1; seed <= seeds; seed++) {
		const cluster = new SimCluster({members, seed});
		cluster.node('c1').full = true;
		for (const nodeId of cluster.nodes.keys()) {
			cluster.start(nodeId);
		}

		cluster.run(fullMs);
		cluster.node('c1').full = false;
		t.true(cluster.runUntil(() => cluster.leader() !== undefined), `seed ${seed}`);
		t.true(accepts(cluster, 1), `seed ${seed}`);
	}
});

// Guards against a vote or an entry that is forgotten when a process ends after a failed write.
test('a process that is killed while its disk is full, or while the journal is rewritten, keeps its votes and entries', t => {
	for (let seed = 1; seed <= seeds; seed++) {
		for (const survivors of [0, 1, 2, 9]) {
			const cluster = startCluster(seed);
			t.true(accepts(cluster, 1));
			const leader = cluster.leader()!;
			cluster.node(leader).full = true;
			t.true(accepts(cluster, 2));
			const {term} = cluster.process(leader).member!.status();
			cluster.run(seed * 100);
			cluster.node(leader).full = seed % 2 === 0;
			cluster.crash(leader, survivors);
			cluster.node(leader).full = false;
			cluster.start(leader);
			t.true(cluster.process(leader).member!.status().term >= term);
			t.true(cluster.runUntil(() => votes(cluster, leader)));
			t.true(accepts(cluster, 3), `seed ${seed}, ${survivors} survivors`);
			t.true(cluster.runUntil(() => cluster.process(leader).state.tree.revision === 3));
		}
	}
});
