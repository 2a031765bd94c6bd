import test from 'ava';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {SimCluster} from '../../fixtures/sim-cluster.ts';
import {makeChange} from '../tree/make-change.ts';

type Options = ConstructorParameters<typeof SimCluster>[0];

function startCluster(options: Partial<Options> = {}): SimCluster {
	const cluster = new SimCluster({members: 3, ...options});
	for (const nodeId of cluster.nodes.keys()) {
		cluster.start(nodeId);
	}

	cluster.runUntil(() => cluster.leader() !== undefined);
	return cluster;
}

/** Submits a change to the current leader until it is accepted. */
function acceptChange(cluster: SimCluster, number: number): boolean {
	return cluster.runUntil(() => {
		const leader = cluster.leader();
		if (leader === undefined) {
			return false;
		}

		const {state} = cluster.process(leader);
		if (state.tree.revision < number) {
			cluster.act(leader, (process, now) => {
				process.service.submit(makeChange({number}), now);
			});
		}

		return state.tree.revision >= number;
	});
}

const revisions = (cluster: SimCluster) => [...cluster.nodes.values()].map(node => node.process?.service.tree.revision);
const otherThan = (cluster: SimCluster, name: string) => cluster.controlIds.filter(nodeId => nodeId !== name);

test('three empty members form one group, elect a leader and accept changes', t => {
	const cluster = startCluster({entries: 1});
	t.true(acceptChange(cluster, 1));
	t.true(cluster.runUntil(() => revisions(cluster).every(revision => revision === 1)));
	t.deepEqual(cluster.process('c1').member!.status().voters, cluster.controlIds);
});

test('an empty member forms no group while one of the others is down', t => {
	const cluster = new SimCluster({members: 3});
	cluster.start('c1');
	cluster.start('c2');
	cluster.run(10_000);
	t.is(cluster.process('c1').member!.status().role, 'starting');
	cluster.start('c3');
	t.true(cluster.runUntil(() => cluster.leader() !== undefined));
});

test('an isolated leader stops accepting commands before another one leads, and its return causes no election', t => {
	const cluster = startCluster();
	acceptChange(cluster, 1);
	const old = cluster.leader()!;
	cluster.isolate(old, true);
	const rival = () => otherThan(cluster, old).some(name => cluster.process(name).member!.leads(cluster.clock(cluster.node(name))));
	t.true(cluster.runUntil(rival));
	t.not(cluster.leader(), old);
	cluster.act(old, (process, now) => t.is(process.member!.propose({type: 'change', change: makeChange({changeId: 'lost', number: 2})}, now), undefined));
	t.true(acceptChange(cluster, 2));
	cluster.run(10_000);
	const leader = cluster.leader()!;
	const {term} = cluster.process(leader).member!.status();
	cluster.isolate(old, false);
	cluster.run(5000);
	t.is(cluster.leader(), leader);
	t.is(cluster.process(leader).member!.status().term, term);
	t.is(cluster.process(old).state.tree.revision, 2);
});

test('a member that lost its data folder returns as a learner, and a second failure right after the repair loses no change', t => {
	for (let seed = 1; seed <= 10; seed++) {
		const cluster = startCluster({seed});
		for (let number = 1; number <= 30; number++) {
			acceptChange(cluster, number);
		}

		const lost = otherThan(cluster, cluster.leader()!)[0]!;
		const former = cluster.node(lost).storageId;
		cluster.crash(lost);
		acceptChange(cluster, 31);
		cluster.start(lost, {emptyDisk: true});
		const {storageId} = cluster.node(lost);
		t.not(storageId, former);
		const votes = () => cluster.process(lost).member!.status().role === 'follower';
		t.true(cluster.runUntil(votes));
		const second = cluster.leader()!;
		cluster.crash(second);
		t.true(acceptChange(cluster, 32));
		t.is(cluster.process(lost).state.tree.acceptedChange(31)?.changeId, makeChange({number: 31}).changeId);
	}
});

test('a member that lost its data folder grants no vote to one that lacks accepted changes', t => {
	const cluster = startCluster();
	const leader = cluster.leader()!;
	const [stale, lost] = otherThan(cluster, leader) as [NodeId, NodeId];
	cluster.isolate(stale, true);
	t.true(acceptChange(cluster, 1));
	cluster.crash(leader);
	cluster.crash(lost);
	cluster.start(lost, {emptyDisk: true});
	cluster.isolate(stale, false);
	cluster.run(20_000);
	t.is(cluster.leader(), undefined);
	cluster.start(leader);
	t.true(acceptChange(cluster, 2));
	t.true(cluster.runUntil(() => cluster.process(stale).state.tree.revision === 2));
	t.is(cluster.process(stale).state.tree.acceptedChange(1)?.changeId, makeChange({number: 1}).changeId);
});

test('a member catches up by snapshot after compaction, and restarts from it', t => {
	const cluster = startCluster();
	const absent = otherThan(cluster, cluster.leader()!)[0]!;
	cluster.crash(absent);
	cluster.act(cluster.leader()!, (process, now) => {
		for (let number = 1; number <= 2500; number++) {
			process.member!.propose({type: 'change', change: makeChange({number})}, now);
		}
	});
	const leader = cluster.leader()!;
	t.true(cluster.runUntil(() => cluster.process(leader).state.tree.revision === 2500));
	t.true(cluster.process(leader).member!.status().snapshotIndex > 1000);
	t.true(cluster.node(leader).disk.length < 2600);
	cluster.start(absent);
	t.true(cluster.runUntil(() => cluster.process(absent).state.tree.revision === 2500));
	for (const name of cluster.controlIds) {
		cluster.crash(name);
		cluster.start(name);
	}

	t.true(acceptChange(cluster, 2501));
	t.true(cluster.runUntil(() => revisions(cluster).every(revision => revision === 2501)));
});

test('members are added and removed by command, one at a time', t => {
	const cluster = startCluster({members: 5});
	const leader = cluster.leader()!;
	const [gone] = otherThan(cluster, leader) as [NodeId];
	const change = (type: 'add' | 'remove', nodeId: NodeId) => {
		let done = false;
		cluster.act(cluster.leader() ?? leader, (process, now) => {
			done = process.member!.changeMembers({type, nodeId}, now);
		});
		return done;
	};

	t.false(change('add', gone));
	t.true(change('remove', gone));
	t.false(change('remove', toId<NodeId>('c9')));
	const voters = () => cluster.process(cluster.leader() ?? leader).member!.status().voters;
	t.true(cluster.runUntil(() => !voters().includes(gone)));
	t.true(cluster.runUntil(() => cluster.process(gone).member!.status().role === 'learner'));
	t.true(cluster.runUntil(() => change('add', gone)));

	t.true(cluster.runUntil(() => voters().includes(gone)));
	t.true(cluster.runUntil(() => change('remove', leader as NodeId)));
	t.true(cluster.runUntil(() => cluster.leader() !== undefined && cluster.leader() !== leader && !voters().includes(leader as NodeId)));
});

test('an up-to-date member that was cut off in one or both directions causes no election', t => {
	const cluster = startCluster();
	acceptChange(cluster, 1);
	cluster.run(2000);
	const leader = cluster.leader()!;
	const [isolated] = otherThan(cluster, leader) as [NodeId];
	const {term} = cluster.process(leader).member!.status();
	cluster.cut.add(`${leader}>${isolated}`);
	cluster.run(10_000);
	cluster.isolate(isolated, true);
	cluster.run(10_000);
	cluster.isolate(isolated, false);
	cluster.run(5000);
	t.is(cluster.leader(), leader);
	for (const name of cluster.controlIds) {
		t.is(cluster.process(name).member!.status().term, term);
	}
});

test('a leader limits its uncommitted commands', t => {
	const cluster = startCluster({limits: {uncommitted: 5}});
	const leader = cluster.leader()!;
	const indexes: Array<number | undefined> = [];
	cluster.act(leader, (process, now) => {
		for (let number = 1; number <= 8; number++) {
			indexes.push(process.member!.propose({type: 'change', change: makeChange({number})}, now));
		}
	});
	t.deepEqual(indexes.map(index => index === undefined), [false, false, false, false, false, true, true, true]);
	t.true(cluster.runUntil(() => cluster.process(leader).state.tree.revision === 5));
	t.true(acceptChange(cluster, 6));
});

test('slow disks delay commits but do not depose the leader', t => {
	const cluster = startCluster({syncMs: [500, 900]});
	acceptChange(cluster, 1);
	const leader = cluster.leader()!;
	const {term} = cluster.process(leader).member!.status();
	const submitted = 300;
	const indexes: Array<number | undefined> = [];
	const propose = (number: number) => {
		cluster.act(leader, (process, now) => {
			indexes.push(process.member!.propose({type: 'change', change: makeChange({number})}, now));
		});
	};

	for (let number = 2; number <= submitted; number++) {
		propose(number);
		cluster.run(40);
	}

	t.false(indexes.includes(undefined));
	t.true(cluster.runUntil(() => cluster.process(leader).state.tree.revision === submitted));
	t.is(cluster.process(leader).member!.status().term, term);
});

test('half of an even number of voters has no leader until the other half is reachable again', t => {
	const cluster = startCluster({members: 4});
	acceptChange(cluster, 1);
	for (const [from, to] of [['c1', 'c3'], ['c1', 'c4'], ['c2', 'c3'], ['c2', 'c4']]) {
		cluster.cut.add(`${from}>${to}`).add(`${to}>${from}`);
	}

	cluster.run(3000);
	t.is(cluster.leader(), undefined);
	cluster.run(10_000);
	t.is(cluster.leader(), undefined);
	cluster.cut.clear();
	t.true(acceptChange(cluster, 2));
});

test('a member whose journal write fails stops, and the others continue', t => {
	const cluster = startCluster();
	const leader = cluster.leader()!;
	cluster.node(leader).full = true;
	cluster.act(leader, (process, now) => {
		process.member!.writeFailed('no space left', now);
	});
	t.like(cluster.process(leader).member!.status(), {role: 'stopped', problem: 'no space left'});
	t.true(acceptChange(cluster, 1));
	t.not(cluster.leader(), leader);
	t.is(cluster.process(leader).member!.status().role, 'stopped');
});
