import test from 'ava';
import {SimCluster} from '../../fixtures/sim-cluster.ts';
import {makeChange} from '../tree/make-change.ts';

/** Longest time until a machine with a new disk must be a voter again, in milliseconds (required catch-up time of the first deployments). */
const catchUpMs = 4000;

test('a member that lost its data folder is a voter again within the allowed catch-up time', t => {
	for (let seed = 1; seed <= 10; seed++) {
		const cluster = new SimCluster({members: 5, seed, delayMs: [50, 60]});
		for (const nodeId of cluster.controlIds) {
			cluster.start(nodeId);
		}

		cluster.runUntil(() => cluster.leader() !== undefined);
		cluster.run(3000);
		const wiped = cluster.controlIds.find(nodeId => nodeId !== cluster.leader())!;
		cluster.crash(wiped);
		cluster.run(1000);
		cluster.start(wiped, {emptyDisk: true});
		const {storageId} = cluster.node(wiped);
		const votes = () => {
			const leader = cluster.leader();
			const {role} = cluster.process(wiped).member!.status();
			return leader !== undefined && role === 'follower' && cluster.node(wiped).storageId === storageId;
		};

		t.true(cluster.runUntil(votes, catchUpMs), `seed ${seed}`);
		const leader = cluster.process(cluster.leader()!).member!;
		cluster.run(500);
		const settled = leader.status().lastIndex;
		cluster.run(3000);
		t.is(leader.status().lastIndex, settled, `seed ${seed}: the configuration keeps changing`);
	}
});

test('a member that is down is sent only heartbeats, and catches up when it returns', t => {
	const cluster = new SimCluster({members: 3, seed: 3});
	for (const nodeId of cluster.controlIds) {
		cluster.start(nodeId);
	}

	cluster.runUntil(() => cluster.leader() !== undefined);
	const down = cluster.controlIds.find(nodeId => nodeId !== cluster.leader())!;
	cluster.crash(down);
	cluster.run(500);
	let number = 1;
	let bytes = 0;
	const changeAndRun = (ms: number) => {
		const {revision} = cluster.process(cluster.leader()!).state.tree;
		number = revision + 1;
		cluster.act(cluster.leader()!, (process, now) => {
			process.service.submit(makeChange({number}), now);
		});
		cluster.run(ms);
	};

	for (let count = 0; count < 10; count++) {
		changeAndRun(200);
	}

	cluster.onSend = (_from, to, message) => {
		bytes += to === down ? JSON.stringify(message).length : 0;
	};

	cluster.run(10_000);
	// The deployment's requirements allow each node 18 KB/s for all control traffic; a heartbeat is a few hundred bytes.
	t.true(bytes / 10 < 2000, `${bytes / 10} bytes per second`);

	cluster.start(down);
	t.true(cluster.runUntil(() => cluster.process(down).state.tree.revision === number, catchUpMs));
});
