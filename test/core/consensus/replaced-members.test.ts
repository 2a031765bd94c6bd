import test from 'ava';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {SimCluster} from '../../fixtures/sim-cluster.ts';
import {makeChange} from '../tree/make-change.ts';

/** Longest time until a machine with a new disk must be a voter again, in milliseconds (required catch-up time of the first deployments). */
const catchUpMs = 4000;
/** Time within which another member leads after the loss of a leader, in milliseconds. */
const electionMs = 5000;
const seeds = [1, 2, 3, 4, 5];

/** Three members and three more nodes, `c4` to `c6`, that an operator can add. */
function startCluster(seed: number): SimCluster {
	const cluster = new SimCluster({
		members: 6, initialMembers: 3, entries: 1, seed,
	});
	for (const nodeId of [...cluster.controlIds.slice(0, 3), 'e1']) {
		cluster.start(nodeId);
	}

	cluster.runUntil(() => cluster.leader() !== undefined);
	cluster.run(1000);
	return cluster;
}

/** Asks the leader for a change until it is started or the time is over, as an operator would. */
function change(cluster: SimCluster, type: 'add' | 'remove', name: string): boolean {
	return cluster.runUntil(() => {
		let started = false;
		const leader = cluster.leader();
		if (leader !== undefined) {
			cluster.act(leader, (process, now) => {
				started = process.member!.changeMembers({type, nodeId: toId<NodeId>(name)}, now);
			});
		}

		return started;
	}, electionMs);
}

function status(cluster: SimCluster) {
	return cluster.process(cluster.leader()!).member!.status();
}

/** True once these nodes vote, no other one is wanted, and they accept changes. */
function settles(cluster: SimCluster, names: readonly string[]): boolean {
	const reached = cluster.runUntil(() => {
		if (cluster.leader() === undefined) {
			return false;
		}

		const {voters, wanted} = status(cluster);
		return [voters, wanted].every(list => list.toSorted().join(' ') === names.join(' '));
	}, electionMs + catchUpMs);
	if (!reached) {
		return false;
	}

	const number = cluster.process(cluster.leader()!).state.tree.revision + 1;
	cluster.act(cluster.leader()!, (process, now) => {
		process.service.submit(makeChange({number}), now);
	});
	return cluster.runUntil(() => names.every(name => cluster.process(name).state.tree.revision === number), electionMs);
}

for (const seed of seeds) {
	test(`a member that was added and never comes up is shown as wanted, by a later leader too, and can be withdrawn, seed ${seed}`, t => {
		const cluster = startCluster(seed);
		const lost = cluster.leader()!;
		t.true(change(cluster, 'add', 'c4'));
		cluster.run(1000);
		cluster.crash(lost);
		t.true(cluster.runUntil(() => cluster.leader() !== undefined, electionMs));
		cluster.start(lost);
		t.deepEqual(status(cluster).wanted.filter(nodeId => !status(cluster).voters.includes(nodeId)), ['c4']);
		t.false(change(cluster, 'add', 'c5'));
		t.true(change(cluster, 'remove', 'c4'));
		cluster.start('c5');
		t.true(change(cluster, 'add', 'c5'));
		t.true(settles(cluster, ['c1', 'c2', 'c3', 'c5']));
	});

	test(`a member that goes while it is brought up to date is withdrawn, or replaced under its name, seed ${seed}`, t => {
		const cluster = startCluster(seed);
		cluster.start('c4');
		cluster.run(50 + (seed * 60));
		t.true(change(cluster, 'add', 'c4'));
		cluster.crash('c4');
		cluster.run(500);
		cluster.start('c4', {emptyDisk: true});
		t.true(settles(cluster, ['c1', 'c2', 'c3', 'c4']));
		cluster.start('c5');
		t.true(change(cluster, 'add', 'c5'));
		cluster.crash('c5');
		cluster.run(2000);
		if (!status(cluster).voters.includes(toId('c5'))) {
			t.false(change(cluster, 'add', 'c6'));
		}

		t.true(change(cluster, 'remove', 'c5'));
		t.true(settles(cluster, ['c1', 'c2', 'c3', 'c4']));
	});

	test(`changes are accepted at any node after all members were replaced by nodes that its settings do not name yet, seed ${seed}`, t => {
		const cluster = startCluster(seed);
		for (const [index, removed] of ['c1', 'c2', 'c3'].entries()) {
			const added = `c${index + 4}`;
			cluster.start(added);
			t.true(change(cluster, 'add', added));
			t.true(cluster.runUntil(() => cluster.leader() !== undefined && status(cluster).voters.includes(toId(added)), electionMs));
			t.true(change(cluster, 'remove', removed));
			t.true(cluster.runUntil(() => cluster.leader() !== undefined && !status(cluster).voters.includes(toId(removed)), electionMs));
		}

		t.true(settles(cluster, ['c4', 'c5', 'c6']));
		for (const name of ['e1', 'c1', 'c4', 'c5', 'c6']) {
			const number = cluster.process(cluster.leader()!).state.tree.revision + 1;
			cluster.act(name, (process, now) => {
				process.service.submit(makeChange({number}), now);
			});
			t.true(cluster.runUntil(() => cluster.process(cluster.leader()!).state.tree.revision === number, electionMs), `${name}, whose settings name c1 to c3`);
		}
	});

	test(`a lost member is replaced by a node of another name, seed ${seed}`, t => {
		const cluster = startCluster(seed);
		const lost = cluster.leader()!;
		cluster.crash(lost);
		cluster.start('c4');
		t.true(change(cluster, 'add', 'c4'));
		t.true(cluster.runUntil(() => cluster.leader() !== undefined && status(cluster).voters.includes(toId('c4')), electionMs));
		t.true(change(cluster, 'remove', lost));
		t.true(settles(cluster, ['c1', 'c2', 'c3', 'c4'].filter(name => name !== lost)));
	});

	test(`a lost member is replaced under its name though its first replacement is lost too, before or after it votes, seed ${seed}`, t => {
		for (const runMs of [100, 300, 600, 900, 1200, 1500, 2000, 4000]) {
			const cluster = startCluster(seed);
			const lost = cluster.controlIds.slice(0, 3).find(nodeId => nodeId !== cluster.leader())!;
			cluster.crash(lost);
			cluster.run(2000);
			cluster.start(lost, {emptyDisk: true});
			cluster.run(runMs);
			cluster.crash(lost);
			cluster.run(500);
			cluster.start(lost, {emptyDisk: true});
			const {storageId} = cluster.node(lost);
			t.true(settles(cluster, ['c1', 'c2', 'c3']), `the first replacement ran for ${runMs} ms`);
			t.true(cluster.runUntil(() => cluster.process(lost).member!.status().role === 'follower', catchUpMs), `the first replacement ran for ${runMs} ms`);
			t.is(cluster.node(lost).storageId, storageId);
		}
	});
}
