import test from 'ava';
import {CountedMap} from '../../../src/core/memory/counted-map.ts';
import {StateBudget} from '../../../src/core/memory/state-budget.ts';
import {StateMemory} from '../../../src/core/memory/state-memory.ts';

const keyLength = 40;

function keyOf(index: number): string {
	return String(index).padStart(keyLength, '0');
}

/** Memory of an entry with a key of `keyLength` characters, in bytes. */
function entryBytes(): number {
	const map = new CountedMap<string, number>({budget: new StateBudget(1_000_000), whenFull: 'keep'});
	map.set(keyOf(0), 0);
	return map.bytes;
}

test('an entry counts its key, its value and the entry itself, once', t => {
	const budget = new StateBudget(1_000_000);
	const map = new CountedMap<string, number>({budget, whenFull: 'keep', valueBytes: value => value});
	map.set('abc', 500);
	const {bytes} = budget;
	t.true(bytes > 503);
	map.set('abc', 500);
	t.is(budget.bytes, bytes);
	map.set('abc', 0);
	t.is(budget.bytes, bytes - 500);
	map.delete('abc');
	map.delete('abc');
	t.is(budget.bytes, 0);
	map.set('abc', 500);
	map.clear();
	t.is(budget.bytes, 0);
});

test('the oldest entries are forgotten at the bound; one that is renewed is the newest', t => {
	const budget = new StateBudget(100 * entryBytes());
	const forgotten: number[] = [];
	const map = new CountedMap<string, number>({
		budget,
		whenFull: 'forget',
		onForgotten(value) {
			forgotten.push(value);
		},
	});
	for (let index = 0; index < 100; index++) {
		map.set(keyOf(index), index);
	}

	t.is(map.size, 100);
	map.renew(keyOf(0), 0);
	map.set(keyOf(50), 50);
	map.set(keyOf(100), 100);
	t.true(budget.bytes <= budget.maxBytes);
	t.true(map.has(keyOf(0)));
	t.true(map.has(keyOf(100)));
	t.false(map.has(keyOf(1)));
	t.deepEqual(forgotten, Array.from({length: forgotten.length}, (_, index) => index + 1));
});

test('of several places with state of one kind the largest forgets, and places whose state is kept never do', t => {
	const budget = new StateBudget(100 * entryBytes());
	const kept = new CountedMap<string, number>({budget, whenFull: 'keep'});
	const small = new CountedMap<string, number>({budget, whenFull: 'forget'});
	const large = new CountedMap<string, number>({budget, whenFull: 'forget'});
	for (let index = 0; index < 50; index++) {
		kept.set(keyOf(index), 0);
	}

	small.set(keyOf(0), 0);
	for (let index = 0; index < 1000; index++) {
		large.set(keyOf(index), 0);
		t.true(budget.bytes <= budget.maxBytes);
	}

	t.is(small.size, 1);
	t.is(kept.size, 50);
	for (let index = 50; index < 200; index++) {
		kept.set(keyOf(index), 0);
	}

	t.is(kept.size, 200);
	t.is(small.size + large.size, 0);
	t.true(budget.isFull);
});

test('the kinds together take no more than the memory for state', t => {
	const maxBytes = 1_000_000;
	for (const state of [new StateMemory({maxBytes}), new StateMemory({maxBytes, kinds: ['stream-origins', 'targets']})]) {
		const sum = state.kinds.reduce((before, kind) => before + state.budget(kind).maxBytes, 0);
		t.true(sum > 0.99 * maxBytes && sum < 1.01 * maxBytes);
	}

	t.throws(() => new StateMemory({kinds: ['targets']}).budget('prompt-parts'));
});
