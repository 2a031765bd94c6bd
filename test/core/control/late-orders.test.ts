import test, {type ExecutionContext} from 'ava';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {Zone} from '../../../src/core/ids/zone.ts';
import {ControlCluster} from '../../fixtures/control-cluster.ts';

const zone = toId<Zone>('regina-a');
/** Time that an operator waits for an answer, in milliseconds. */
const patienceMs = 1000;
/** Time for which a node looks for the end of an operator's connection before it takes up an order, in milliseconds. */
const confirmationMs = 200;
const seeds = [1, 2, 3, 4];

function startCluster(seed: number, heldUpMs?: ConstructorParameters<typeof ControlCluster>[0]['heldUpMs']): ControlCluster {
	const cluster = new ControlCluster({nodes: 5, seed, heldUpMs});
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
	return cluster.call(index, {type: 'change', command: {type: 'evacuation', zone, active}});
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

/** A cluster with an evacuated zone in which a node that doesn't lead is asked to take that back, and what it sends to the leader then is held up. */
function startWithHeldUpOrder(seed: number, heldUpMs: number) {
	const held = {count: 0};
	const cluster = startCluster(seed, message => {
		const isHeldUp = message.part === 'control' && message.body.type === 'propose' && message.body.command.type === 'evacuation' && !message.body.command.active;
		held.count += isHeldUp ? 1 : 0;
		return isHeldUp ? heldUpMs : 0;
	});
	const first = order(cluster, cluster.leader()!, true);
	cluster.runUntil(() => cluster.answers.get(first)?.type === 'accepted');
	cluster.run(500);
	const [follower] = followerAndOthers(cluster);
	const late = order(cluster, follower, false);
	cluster.run(300);
	return {
		cluster, held, follower, late,
	};
}

function assertNotApplied(t: ExecutionContext, {cluster, held, late}: ReturnType<typeof startWithHeldUpOrder>, seed: number): void {
	t.true(held.count > 0, `seed ${seed}`);
	t.is(cluster.answers.get(late)?.type, 'unavailable', `seed ${seed}`);
	t.deepEqual(evacuated(cluster), [zone], `seed ${seed}`);
}

// Guards against an order that was acknowledged as changing nothing, so that one of before it still undoes it.
test('an order that was proposed before one that was acknowledged as changing nothing does not undo that one', t => {
	for (const seed of seeds) {
		const late = startWithHeldUpOrder(seed, 700);
		const {cluster} = late;
		const again = order(cluster, cluster.leader()!, true);
		t.true(cluster.runUntil(() => cluster.answers.get(again)?.type === 'accepted', 200), `seed ${seed}`);
		cluster.run(3000);
		assertNotApplied(t, late, seed);
	}
});

// Guards against a proposal that takes effect after the node that sent it has given it up.
test('an order that is held up between two nodes until its operator has left is not applied', t => {
	for (const seed of seeds) {
		const late = startWithHeldUpOrder(seed, 2000);
		late.cluster.run(4000);
		assertNotApplied(t, late, seed);
	}
});

// Guards against a new leader that takes what was opened at the one before it.
test('an order that reaches a new leader was opened by it', t => {
	for (const seed of seeds) {
		const {cluster, follower, late} = startWithHeldUpOrder(seed, 2000);
		const leader = cluster.leader()!;
		cluster.kill(leader);
		t.true(cluster.runUntil(() => cluster.leader() !== undefined && cluster.leader() !== leader), `seed ${seed}`);
		cluster.run(500);
		const next = cluster.leader()!;
		cluster.step(next, {
			type: 'peer', from: cluster.nodes[follower]!.nodeId, message: {
				part: 'control',
				body: {
					type: 'propose', callId: late, opening: '1-1', command: {
						type: 'evacuation', zone, active: false, basis: Number.MAX_SAFE_INTEGER,
					},
				},
			},
		});
		cluster.run(3000);
		t.deepEqual(evacuated(cluster), [zone], `seed ${seed}`);
	}
});

test('an order that is sent once is carried out in time at every node, also with links cut between others, after restarts and a change of the leader', t => {
	for (const seed of seeds) {
		const cluster = startCluster(seed);
		const orderEverywhere = (what: string) => {
			for (const [index, {core}] of cluster.nodes.entries()) {
				for (const active of core === undefined ? [] : [true, true, false, false]) {
					const callId = order(cluster, index, active);
					t.true(cluster.runUntil(() => cluster.answers.has(callId), patienceMs - confirmationMs), `seed ${seed}, ${what}`);
					t.is(cluster.answers.get(callId)?.type, 'accepted', `seed ${seed}, ${what}, node ${index}`);
					t.deepEqual(evacuated(cluster), active ? [zone] : [], `seed ${seed}, ${what}, node ${index}`);
				}
			}
		};

		orderEverywhere('calm');
		const [follower, others] = followerAndOthers(cluster);
		cluster.setPartition([follower], others.filter(index => index !== cluster.leader()), true);
		orderEverywhere('a node in touch with the leader alone');
		cluster.setPartition([follower], others, false);
		cluster.kill(follower);
		cluster.start(follower);
		cluster.run(1500);
		orderEverywhere('a node has restarted');
		const leader = cluster.leader()!;
		cluster.kill(leader);
		cluster.runUntil(() => cluster.leader() !== undefined && cluster.leader() !== leader);
		cluster.start(leader);
		cluster.run(1000);
		orderEverywhere('another node leads');
	}
});

// Guards against an order that was opened anew by a repetition of its opening, which was held up together with it.
test('an order that is held up behind a repetition of its opening is not applied', t => {
	for (const seed of seeds) {
		let openings = 0;
		const cluster = startCluster(seed, message => {
			const body = message.part === 'control' ? message.body : undefined;
			if (body?.type === 'confirm' && body.opensOrderMs !== undefined) {
				openings += 1;
				return openings > 1 ? 4000 : 0;
			}

			// The answer to the opening is late, so that the node asks again before it proposes.
			return body?.type === 'confirmed' ? 300 : (body?.type === 'propose' ? 4000 : 0);
		});
		const first = order(cluster, cluster.leader()!, true);
		cluster.runUntil(() => cluster.answers.get(first)?.type === 'accepted');
		cluster.run(500);
		const [follower] = followerAndOthers(cluster);
		const late = order(cluster, follower, false);
		cluster.run(patienceMs + 100);
		t.is(cluster.answers.get(late)?.type, 'unavailable', `seed ${seed}`);
		t.true(openings > 1, `seed ${seed}`);
		cluster.run(6000);
		t.deepEqual(evacuated(cluster), [zone], `seed ${seed}`);
	}
});
