import test from 'ava';
import type {KeeperSet} from '../../../src/core/ledger/keeper-set.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {Change} from '../../../src/core/tree/change.ts';
import type {ChangeOutcome} from '../../../src/core/tree/change-outcome.ts';
import {SimCluster} from '../../fixtures/sim-cluster.ts';
import {makeChange} from './make-change.ts';

function startCluster(entries: number, limits = {}, seed = 1): SimCluster {
	const cluster = new SimCluster({
		members: 3, entries, limits, seed,
	});
	for (const nodeId of cluster.nodes.keys()) {
		cluster.start(nodeId);
	}

	cluster.runUntil(() => cluster.leader() !== undefined);
	return cluster;
}

/** Submits a change at a node and waits for its answer. */
function submit(cluster: SimCluster, name: string, change: Change): ChangeOutcome | undefined {
	let outcome: ChangeOutcome | undefined;
	cluster.act(name, (process, now) => {
		process.service.submit(change, now);
	});
	cluster.runUntil(() => {
		const found = cluster.process(name).service.takeOutcomes().find(answer => answer.changeId === change.changeId);
		outcome = found?.outcome;
		return found !== undefined;
	});
	return outcome;
}

function acceptMany(cluster: SimCluster, from: number, to: number): void {
	cluster.act(cluster.leader()!, (process, now) => {
		for (let number = from; number <= to; number++) {
			process.member!.propose({type: 'change', change: makeChange({number})}, now);
		}
	});
	cluster.runUntil(() => cluster.process(cluster.leader()!).state.tree.revision >= to);
}

const revision = (cluster: SimCluster, name: string) => cluster.node(name).process?.service.tree.revision;
const ready = (cluster: SimCluster, name: string) => cluster.process(name).service.ready(cluster.clock(cluster.node(name)));
const followers = (cluster: SimCluster) => cluster.controlIds.filter(nodeId => nodeId !== cluster.leader());

test('of two changes with the same number, submitted at two nodes at the same time, one is accepted and the other is answered with the id of the accepted one', t => {
	const cluster = startCluster(2);
	const first = makeChange({changeId: 'one'});
	const second = makeChange({changeId: 'two'});
	cluster.act('e1', (process, now) => {
		process.service.submit(first, now);
	});
	const answer = submit(cluster, 'e2', second);
	cluster.run(1000);
	const other = cluster.process('e1').service.takeOutcomes()[0]!.outcome;
	const [accepted, taken] = answer?.type === 'accepted' ? [answer, other] : [other, answer!];
	t.deepEqual(accepted, {type: 'accepted', revision: 1});
	t.like(taken, {type: 'number-taken', winner: answer === accepted ? 'two' : 'one', revision: 1});
});

test('a resent change gets the same answer after a change of leader, 500 later changes, compaction and restarts', t => {
	const cluster = startCluster(1, {snapshotEntries: 100, keptEntries: 20});
	const create = makeChange({changeId: 'create', operations: [{op: 'create', path: 'prairie'}]});
	const again = makeChange({changeId: 'again', number: 2, operations: [{op: 'create', path: 'prairie'}]});
	t.deepEqual(submit(cluster, 'e1', create), {type: 'accepted', revision: 1});
	const refused = submit(cluster, 'e1', again);
	t.like(refused, {type: 'invalid'});
	const former = cluster.leader()!;
	cluster.crash(former);
	cluster.runUntil(() => cluster.leader() !== undefined);
	acceptMany(cluster, 2, 501);
	for (const name of cluster.controlIds) {
		cluster.crash(name);
		cluster.start(name);
	}

	t.true(cluster.runUntil(() => cluster.leader() !== undefined));
	t.deepEqual(submit(cluster, 'e1', {...create, submittedAt: 5}), {type: 'accepted', revision: 1});
	t.deepEqual(submit(cluster, 'e1', again), refused);
	t.deepEqual(submit(cluster, 'e1', {...create, operator: 'other'}), {type: 'id-reused'});
	t.is(revision(cluster, cluster.leader()!), 501);
});

test('a change submitted while there is no leader is decided by the next leader', t => {
	for (let seed = 1; seed <= 60; seed++) {
		const cluster = startCluster(1, {}, seed);
		cluster.crash(cluster.leader()!);
		t.deepEqual(submit(cluster, 'e1', makeChange()), {type: 'accepted', revision: 1});
	}
});

test('without a quorum the answer is no-quorum, and the same change is decided once there is one', t => {
	const cluster = startCluster(1);
	const [first, second] = cluster.controlIds as [NodeId, NodeId];
	cluster.crash(first, 9);
	cluster.crash(second, 9);
	const change = makeChange();
	t.like(submit(cluster, 'e1', change), {type: 'no-quorum'});
	cluster.start(first);
	cluster.runUntil(() => cluster.leader() !== undefined);
	t.deepEqual(submit(cluster, 'e1', change), {type: 'accepted', revision: 1});
});

test('an entry that follows an isolated control node switches to another source by itself', t => {
	const cluster = startCluster(1);
	acceptMany(cluster, 1, 1);
	cluster.runUntil(() => revision(cluster, 'e1') === 1);
	const [stale] = followers(cluster) as [NodeId];
	// The entry receives messages from one control node only, so that it follows this one, which is isolated afterwards.
	for (const name of cluster.controlIds.filter(nodeId => nodeId !== stale)) {
		cluster.cut.add(`${name}>e1`);
	}

	cluster.run(6000);
	for (const name of cluster.controlIds) {
		cluster.cut.delete(`${name}>e1`);
		if (name !== stale) {
			cluster.cut.add(`${name}>${stale}`).add(`${stale}>${name}`);
		}
	}

	cluster.run(3000);
	acceptMany(cluster, 2, 2);
	t.is(revision(cluster, stale), 1);
	t.true(cluster.runUntil(() => revision(cluster, 'e1') === 2, 6000));
	t.is(cluster.process(stale).state.tree.revision, 1);
});

test('a control node that is cut off from the others adopts newer settings from entries of its region', t => {
	const cluster = startCluster(1);
	acceptMany(cluster, 1, 1);
	const [stale] = followers(cluster) as [NodeId];
	const others = cluster.controlIds.filter(nodeId => nodeId !== stale);
	cluster.runUntil(() => revision(cluster, stale) === 1);
	for (const name of others) {
		cluster.cut.add(`${name}>${stale}`).add(`${stale}>${name}`);
	}

	acceptMany(cluster, 2, 9);
	cluster.runUntil(() => revision(cluster, 'e1') === 9);
	t.is(revision(cluster, stale), 1);
	const catchUp = () => {
		cluster.act(stale, (process, now) => {
			process.service.catchUpFrom([cluster.node('e1').nodeId], now);
		});
		return revision(cluster, stale) === 9;
	};

	t.true(cluster.runUntil(catchUp));
	t.is(cluster.process(stale).state.tree.revision, 1);
	cluster.cut.clear();
	t.true(cluster.runUntil(() => cluster.process(stale).state.tree.revision === 9));
	cluster.node(stale).full = true;
	cluster.act(stale, (process, now) => {
		process.member!.writeFailed('no space left', now);
	});
	acceptMany(cluster, 10, 12);
	t.true(cluster.runUntil(() => revision(cluster, stale) === 12));
	t.is(cluster.process(stale).state.tree.revision, 9);
});

test('an entry that starts next to a lagging control node serves only with the newest settings', t => {
	const cluster = startCluster(2);
	acceptMany(cluster, 1, 1);
	const [stale] = followers(cluster) as [NodeId];
	cluster.runUntil(() => revision(cluster, stale) === 1);
	cluster.isolate(stale, true);
	acceptMany(cluster, 2, 30);
	cluster.runUntil(() => revision(cluster, 'e2') === 30);
	cluster.cut.delete(`${stale}>e1`);
	cluster.cut.delete(`e1>${stale}`);
	cluster.crash('e1');
	cluster.start('e1');
	t.false(ready(cluster, 'e1'));
	t.true(cluster.runUntil(() => ready(cluster, 'e1')));
	t.is(revision(cluster, 'e1'), 30);
});

test('with all control nodes down an entry gets its settings from another entry; alone it is not ready', t => {
	const cluster = startCluster(2);
	acceptMany(cluster, 1, 3);
	cluster.runUntil(() => revision(cluster, 'e1') === 3 && revision(cluster, 'e2') === 3);
	for (const name of cluster.controlIds) {
		cluster.crash(name);
	}

	// By now no message from the control nodes is in flight.
	cluster.run(500);
	cluster.crash('e1');
	cluster.start('e1');
	t.true(cluster.runUntil(() => ready(cluster, 'e1')));
	t.is(revision(cluster, 'e1'), 3);
	cluster.crash('e1');
	cluster.crash('e2');
	cluster.start('e1');
	cluster.run(10_000);
	t.false(ready(cluster, 'e1'));
});

test('a restarted control node without a majority keeps its settings, and is ready with them', t => {
	const cluster = startCluster(0);
	acceptMany(cluster, 1, 5);
	const [name] = followers(cluster) as [NodeId];
	cluster.runUntil(() => revision(cluster, name) === 5);
	cluster.run(500);
	cluster.isolate(name, true);
	cluster.crash(name);
	cluster.start(name);
	t.is(revision(cluster, name), 5);
	t.true(cluster.runUntil(() => ready(cluster, name)));
});

test('an entry far behind installs a snapshot in chunks with the keeper sets, and never an older revision', t => {
	const cluster = startCluster(1);
	cluster.crash('e1');
	const operations = Array.from({length: 1900}, (_, index) => ({op: 'create' as const, path: `firm-${index}-${'x'.repeat(50)}`}));
	cluster.act(cluster.leader()!, (process, now) => {
		const {member} = process;
		for (let number = 1; number <= 8; number++) {
			member!.propose({
				type: 'change', change: makeChange({number, operations: operations.map(({op, path}) => ({op, path: `${path.slice(0, 60)}${number}`}))}),
			}, now);
		}

		for (let number = 9; number <= 1100; number++) {
			member!.propose({type: 'change', change: makeChange({number})}, now);
		}

		member!.propose({
			type: 'keepers', set: {
				region: 'regina-a', epoch: 1, members: ['e1'], previous: [],
			} as unknown as KeeperSet,
		}, now);
	});
	const leader = cluster.leader()! as NodeId;
	t.true(cluster.runUntil(() => cluster.controlIds.every(name => revision(cluster, name) === 1100)));
	const seen: number[] = [];
	cluster.start('e1');
	t.true(cluster.runUntil(() => {
		const {service} = cluster.process('e1');
		if (service.tree.revision !== (seen.at(-1) ?? 0)) {
			seen.push(service.tree.revision);
		}

		return ready(cluster, 'e1') && service.keeperSets().length === 1;
	}));
	t.deepEqual(seen, [1100]);
	t.is(cluster.process('e1').service.tree.paths().length, 15_200);
	cluster.act('e1', (process, now) => {
		process.service.handle(leader, {
			type: 'snapshot', revision: 3, offset: 0, total: 2, text: '{}',
		}, now);
		process.service.handle(leader, {
			type: 'delta', base: 0, changes: [makeChange({number: 1}), makeChange({number: 2})], keepers: [], revision: 2,
		}, now);
	});
	t.is(revision(cluster, 'e1'), 1100);
});
