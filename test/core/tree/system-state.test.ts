import test from 'ava';
import type {KeeperSet} from '../../../src/core/ledger/keeper-set.ts';
import {SystemState} from '../../../src/core/tree/system-state.ts';
import type {Change} from '../../../src/core/tree/change.ts';
import {jsonCopy} from '../../fixtures/json-copy.ts';
import {makeChange} from './make-change.ts';

const apply = (state: SystemState, change: Change) => state.apply(0, {type: 'change', change});
const keepers = (epoch: number) => ({
	region: 'regina-a', epoch, members: ['n1'], previous: [],
} as unknown as KeeperSet);

test('of two changes with the same number one is accepted and the other is answered with the id of the accepted one', t => {
	const state = new SystemState();
	const first = makeChange({changeId: 'first'});
	const second = makeChange({changeId: 'second'});
	t.deepEqual(apply(state, first), {type: 'accepted', revision: 1});
	t.deepEqual(apply(state, second), {type: 'number-taken', winner: first.changeId, revision: 1});
	t.deepEqual(apply(state, makeChange({changeId: 'gap', number: 9})), {type: 'number-taken', revision: 1});
});

test('a resent change gets the same answer after 500 later changes and a snapshot', t => {
	const state = new SystemState();
	const create = makeChange({changeId: 'c', operations: [{op: 'create', path: 'prairie'}]});
	const invalid = makeChange({changeId: 'i', number: 2, operations: [{op: 'create', path: 'prairie'}]});
	const accepted = apply(state, create);
	const refused = apply(state, invalid);
	const taken = apply(state, makeChange({changeId: 't'}));
	for (let number = 2; number <= 501; number++) {
		t.is(apply(state, makeChange({number})).type, 'accepted');
	}

	const restored = new SystemState();
	restored.restore(jsonCopy(state.snapshot()));
	for (const member of [state, restored]) {
		t.deepEqual(apply(member, {...create, submittedAt: 99}), accepted);
		t.deepEqual(apply(member, invalid), refused);
		t.deepEqual(apply(member, makeChange({changeId: 't'})), taken);
		t.deepEqual(apply(member, {...create, operator: 'other'}), {type: 'id-reused'});
		t.is(member.tree.revision, 501);
	}

	t.deepEqual(jsonCopy(restored.snapshot()), jsonCopy(state.snapshot()));
});

test('keeps the outcomes of at least the 5,000 newest changes, and the winner of a number longer than the history', t => {
	const state = new SystemState();
	for (let number = 1; number <= 5000; number++) {
		apply(state, makeChange({number}));
	}

	t.deepEqual(apply(state, makeChange({number: 1})), {type: 'accepted', revision: 1});
	t.like(apply(state, makeChange({changeId: 'late', number: 3})), {type: 'number-taken', winner: 'change-3'});
	t.is(state.tree.history(2000).length, 1000);
});

test('keeper sets advance by exactly one epoch', t => {
	const state = new SystemState();
	t.deepEqual(state.apply(1, {type: 'keepers', set: keepers(2)}), {type: 'keepers', installed: false});
	t.deepEqual(state.apply(2, {type: 'keepers', set: keepers(1)}), {type: 'keepers', installed: true});
	t.deepEqual(state.apply(3, {type: 'keepers', set: keepers(1)}), {type: 'keepers', installed: false});
	t.deepEqual(state.apply(4, {type: 'lead', nodeId: 'n1'}), {type: 'lead', fencing: 4});
	const restored = new SystemState();
	restored.restore(jsonCopy(state.snapshot()));
	t.is(restored.keepers.version, 1);
	t.deepEqual(restored.lead, {nodeId: 'n1', fencing: 4});
});

test('a malformed change is refused and leaves the state unchanged', t => {
	const state = new SystemState();
	const before = JSON.stringify(state.snapshot());
	const malformed: unknown[] = [
		{...makeChange(), operations: undefined},
		{...makeChange(), operations: [null]},
		{...makeChange(), operations: [{op: 'move', path: 'a'}]},
		{...makeChange(), operations: [{op: 'create', path: 7}]},
		{...makeChange(), operations: Array.from({length: 2001}, () => ({op: 'create', path: 'a'}))},
		{...makeChange(), changeId: 5},
		{...makeChange(), number: 1.5},
	];
	for (const change of malformed) {
		t.is(apply(state, change as Change).type, 'invalid');
	}

	t.is(JSON.stringify(state.snapshot()), before);
});
