import test from 'ava';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {KeeperPlacement} from '../../../src/core/ledger/keeper-placement.ts';
import {nextKeepers} from '../../../src/core/ledger/next-keepers.ts';
import {ownRegion} from '../../../src/core/membership/own-region.ts';
import type {NodeView} from '../../../src/core/membership/node-view.ts';

const region = toId<Region>('home');

type NodeOptions = {zone?: string; hasDisk?: boolean; incarnation?: number; state?: NodeView['state']; draining?: boolean};

function node(name: string, {zone = 'z1', hasDisk = false, incarnation = 1, state = 'alive', draining = false}: NodeOptions = {}): NodeView {
	return {
		info: {
			nodeId: toId(name), region, zone: toId(zone), roles: ['entry'], callerAddress: '', peerAddress: '', weight: 1, hasDisk, incarnation,
		},
		state,
		draining,
		revision: 0,
		load: 0,
	};
}

test('chooses nodes with a disk first, then other zones, and keeps current members', t => {
	const live = [node('n1'), node('n2', {hasDisk: true}), node('n3'), node('n4', {zone: 'z2'})];
	const first = nextKeepers({region, live, size: 2})!;
	t.deepEqual([...first.members].sort(), ['n2', 'n4']);
	t.is(first.epoch, 1);
	const second = nextKeepers({
		region, live: [...live.slice(0, 3), node('n5', {zone: 'z3', hasDisk: true})], current: first, size: 2,
	})!;
	t.deepEqual([second.epoch, [...second.members].sort(), second.previous], [2, ['n2', 'n5'], first.members]);
	t.deepEqual(second.earlier.map(({epoch}) => epoch), [1]);
	t.is(nextKeepers({
		region, live, current: first, size: 2,
	}), undefined);
});

test('a new node with a disk replaces a member without one', t => {
	const current = nextKeepers({region, live: [node('n1'), node('n2')], size: 2})!;
	const next = nextKeepers({
		region, live: [node('n1'), node('n2'), node('n3', {hasDisk: true})], current, size: 2,
	})!;
	t.true(next.members.includes(toId('n3')));
	t.is(next.members.filter(member => current.members.includes(member)).length, 1);
});

test('a restarted member causes a new epoch', t => {
	const current = nextKeepers({region, live: [node('n1'), node('n2')], size: 2})!;
	const next = nextKeepers({
		region, live: [node('n1'), node('n2', {incarnation: 2})], current, size: 2,
	})!;
	t.deepEqual([next.epoch, next.incarnations], [2, {n1: 1, n2: 2}]);
});

test('replaces a dead member only after a delay, and waits longer while no current member is alive', t => {
	const placement = new KeeperPlacement();
	const current = placement.propose({region, nodes: [node('n1'), node('n2')]}, 0 as Millis)!;
	const dead = [node('n1'), node('n2', {state: 'dead'}), node('n3')];
	t.is(placement.propose({region, nodes: dead, current}, 1000 as Millis), undefined);
	t.is(placement.propose({region, nodes: [node('n1'), node('n2')], current}, 3000 as Millis), undefined);
	t.is(placement.propose({region, nodes: dead, current}, 5000 as Millis), undefined);
	t.deepEqual(placement.propose({region, nodes: dead, current}, 8000 as Millis)?.members, ['n1', 'n3']);
	t.is(placement.propose({region, nodes: dead.slice(2), current}, 12_000 as Millis), undefined);
});

test('a set whose only live member leaves is replaced at once, also by a leader in another region', t => {
	const placement = new KeeperPlacement();
	const current = placement.propose({region, nodes: [node('n1'), node('n2')]}, 0 as Millis)!;
	const nodes = [node('n1', {draining: true}), node('n2', {state: 'dead'}), node('n3')];
	const candidates = ownRegion.keeperCandidates(nodes.filter(({state}) => state === 'alive')).map(view => ({...view, state: 'alive'} as const));
	t.deepEqual(placement.propose({region, nodes: candidates, current}, 5000 as Millis)?.members, ['n3']);
	t.deepEqual(new KeeperPlacement().propose({region, nodes, current}, 5000 as Millis)?.members, ['n3']);
});
