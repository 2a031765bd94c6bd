import test from 'ava';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {Zone} from '../../../src/core/ids/zone.ts';
import type {RoutesCommand} from '../../../src/core/routes/routes-command.ts';
import {ControlCluster} from '../../fixtures/control-cluster.ts';

/** Time within which a machine with a new disk must vote again, in milliseconds (required catch-up time of the first deployments). */
const catchUpMs = 4000;
/** Time within which a node must notice that it is behind, in milliseconds: entries need 1.6 s more to leave it, and a configuration must apply within 3 s. */
const staleDetectionMs = 1000;
/** Time from the return of a majority to the election of a leader, in milliseconds. */
const electionMs = 1000;
const zone = toId<Zone>('regina-a');

function startCluster(options: Partial<ConstructorParameters<typeof ControlCluster>[0]> = {}): ControlCluster {
	const cluster = new ControlCluster({nodes: 5, ...options});
	cluster.startAll();
	return cluster;
}

const document = (version: number): RoutesCommand => ({type: 'document', document: {version, text: `document ${version}`}});

/** Sends a change to the nodes in turn until one of them accepts it; false if none does in time. */
function accept(cluster: ControlCluster, command: RoutesCommand, ms = 20_000): boolean {
	const until = cluster.now + ms;
	for (let turn = 0; cluster.now < until; turn++) {
		const callId = cluster.call(turn % cluster.nodes.length, {type: 'change', command});
		cluster.runUntil(() => cluster.answers.has(callId), 1000);
		if (cluster.answers.get(callId)?.type === 'accepted') {
			return true;
		}
	}

	return false;
}

/** Document version that a read at a node returns; undefined without a document or an answer. */
function read(cluster: ControlCluster, index: number): number | undefined {
	const callId = cluster.call(index, {type: 'read'});
	cluster.runUntil(() => cluster.answers.has(callId), 2000);
	const answer = cluster.answers.get(callId);
	return answer?.type === 'document' ? answer.document?.version : undefined;
}

test('five nodes that know three seeds accept a change and become five voters, and each of them answers reads', t => {
	const cluster = startCluster();
	t.true(accept(cluster, document(3)));
	t.true(cluster.runUntil(() => cluster.voters() === 5, 5000));
	for (const index of cluster.nodes.keys()) {
		t.is(read(cluster, index), 3);
	}
});

test('a document with a lower version is accepted and changes nothing', t => {
	const cluster = startCluster();
	t.true(accept(cluster, document(5)));
	t.true(accept(cluster, document(2)));
	t.is(read(cluster, 4), 5);
});

test('a node that lost its disk votes again in time, also while the leader is not one of its seeds', t => {
	for (let seed = 1; seed <= 8; seed++) {
		const cluster = startCluster({seed});
		t.true(accept(cluster, document(1)));
		t.true(cluster.runUntil(() => cluster.voters() === 5));
		// Kill leaders until the leader is a node that is not among the seeds.
		while (cluster.leader()! < 3) {
			const leader = cluster.leader()!;
			cluster.kill(leader);
			t.true(cluster.runUntil(() => cluster.leader() !== undefined && cluster.leader() !== leader));
			cluster.start(leader);
			cluster.run(1500);
		}

		cluster.kill(0);
		cluster.run(500);
		cluster.start(0, {emptyDisk: true});
		t.true(cluster.runUntil(() => cluster.nodes[0]!.core!.status(cluster.clock(0)).consensus.role === 'follower', catchUpMs), `seed ${seed}`);
	}
});

test('accepted changes survive a power cut of all nodes that wipes two disks', t => {
	for (let seed = 1; seed <= 12; seed++) {
		const cluster = startCluster({seed});
		t.true(accept(cluster, document(seed)));
		t.true(accept(cluster, {
			type: 'evacuation', zone, active: true, basis: 0,
		}));
		const wiped = [seed % 5, (seed + 2) % 5];
		for (const index of cluster.nodes.keys()) {
			cluster.kill(index);
		}

		cluster.run(700);
		for (const index of cluster.nodes.keys()) {
			cluster.start(index, {emptyDisk: wiped.includes(index)});
		}

		t.true(cluster.runUntil(() => cluster.leader() !== undefined), `seed ${seed}`);
		cluster.run(3000);
		t.is(read(cluster, wiped[0]!), seed, `seed ${seed}`);
		const leader = cluster.leader()!;
		t.deepEqual(cluster.nodes[leader]!.core!.status(cluster.clock(leader)).evacuated, [zone]);
	}
});

test('no change is accepted while two wiped disks could lose it', t => {
	const cluster = new ControlCluster({nodes: 5});
	for (const index of [0, 1, 2]) {
		cluster.start(index, {firstStart: true});
	}

	t.true(cluster.runUntil(() => cluster.leader() !== undefined));
	t.false(accept(cluster, document(1), 4000));
	cluster.start(3, {firstStart: true});
	t.false(accept(cluster, document(1), 4000));
	cluster.start(4, {firstStart: true});
	t.true(accept(cluster, document(1), 4000));
});

test('a node cut off from the majority does not answer a read', t => {
	const cluster = startCluster();
	t.true(accept(cluster, document(1)));
	t.true(cluster.runUntil(() => cluster.voters() === 5));
	const old = cluster.leader()!;
	const others = [0, 1, 2, 3, 4].filter(index => index !== old);
	cluster.setPartition([old], others, true);
	t.is(read(cluster, old), undefined);
	t.true(cluster.runUntil(() => others.some(index => cluster.nodes[index]!.core!.status(cluster.clock(index)).consensus.role === 'leader')));
	cluster.setPartition([old], others, false);
	t.true(accept(cluster, document(2)));
	t.is(read(cluster, old), 2);
});

test('a delayed copy of an evacuation does not undo its end', t => {
	const cluster = startCluster();
	const begin: RoutesCommand = {
		type: 'evacuation', zone, active: true, basis: 0,
	};
	t.true(accept(cluster, begin));
	const leader = cluster.leader()!;
	const basis = cluster.nodes[leader]!.core!.evacuationBasis(zone);
	t.true(accept(cluster, {
		type: 'evacuation', zone, active: false, basis,
	}));
	const callId = cluster.call(leader, {type: 'change', command: begin});
	cluster.runUntil(() => cluster.answers.has(callId), 3000);
	t.is(cluster.answers.get(callId)?.type, 'unavailable');
	t.deepEqual(cluster.nodes[leader]!.core!.status(cluster.clock(leader)).evacuated, []);
});

test('a new node replaces a node that was removed', t => {
	const cluster = new ControlCluster({nodes: 6});
	for (const index of [0, 1, 2, 3, 4]) {
		cluster.start(index, {firstStart: true});
	}

	t.true(cluster.runUntil(() => cluster.voters() === 5));
	cluster.kill(1);
	cluster.run(1000);
	cluster.start(5);
	const votes = () => cluster.nodes[5]!.core!.status(cluster.clock(5)).consensus.role !== 'learner' && cluster.voters() === 5;
	t.true(cluster.runUntil(votes, catchUpMs));
});

test('nodes that lose power before the replicated log exists create it after the restart', t => {
	const cluster = startCluster();
	cluster.run(100);
	t.is(cluster.leader(), undefined);
	for (const index of cluster.nodes.keys()) {
		cluster.kill(index);
	}

	cluster.run(300);
	for (const index of cluster.nodes.keys()) {
		cluster.start(index);
	}

	t.true(accept(cluster, document(1), 4000));
});

test('a node that gets heartbeats of the leader but no log entries reports that it is not current', t => {
	const cluster = startCluster();
	t.true(accept(cluster, document(1)));
	t.true(cluster.runUntil(() => cluster.voters() === 5));
	const leader = cluster.leader()!;
	const behind = (leader + 1) % 5;
	const current = () => cluster.nodes[behind]!.core!.status(cluster.clock(behind)).current;
	t.true(current());
	// The node's replies are lost, so the leader takes it for dead and sends it heartbeats only.
	cluster.cut.add(`${behind}>${leader}`);
	cluster.run(1500);
	t.true(accept(cluster, document(2)));
	cluster.run(staleDetectionMs);
	for (let checks = 0; checks < 20; checks++) {
		cluster.run(100);
		t.false(current());
	}

	cluster.cut.clear();
	t.true(cluster.runUntil(current, catchUpMs));
	t.is(read(cluster, behind), 2);
});

test('nodes that restart together elect a leader within a second, on average, though each waits for a lease that an old leader may hold', t => {
	const bootMs = 600;
	const seeds = 12;
	let sumMs = 0;
	for (let seed = 1; seed <= seeds; seed++) {
		const cluster = startCluster({seed});
		t.true(accept(cluster, document(1)));
		t.true(cluster.runUntil(() => cluster.voters() === 5));
		for (const index of cluster.nodes.keys()) {
			cluster.kill(index);
			cluster.start(index, {bootMs});
		}

		cluster.run(bootMs);
		const bootedAt = cluster.now;
		t.true(cluster.runUntil(() => cluster.leader() !== undefined, 5000));
		sumMs += cluster.now - bootedAt;
	}

	t.true(sumMs / seeds <= electionMs, `${Math.round(sumMs / seeds)} ms`);
});
