import test from 'ava';
import {HeldRequests} from '../../../src/core/memory/held-requests.ts';

const maxBytes = 1_000_000;
const maxCount = 40;
const ordinaryBytes = 10_000;
const largeHeadBytes = 150_000;

function start() {
	return new HeldRequests<string>({maxBytes, maxCount});
}

/** Adds a request without a body; true if it has begun. */
function begin(held: HeldRequests<string>, name: string, {bytes = ordinaryBytes, address = 'one', isCounted = false} = {}): boolean {
	return !held.add(name, {address, bytes}).includes(name) && held.begin(name, {isCounted}).isAdmitted;
}

// Guards against requests that have begun and are given up for others that have not.
test('a request that has begun is never given up, and large ones leave room for ordinary ones', t => {
	const held = start();
	const begun: string[] = [];
	for (let index = 0; index < 40; index++) {
		const name = `large-${index}`;
		if (begin(held, name, {bytes: largeHeadBytes})) {
			begun.push(name);
		} else {
			held.delete(name);
		}
	}

	t.deepEqual(begun, ['large-0', 'large-1', 'large-2']);
	for (let index = 0; index < 55; index++) {
		t.true(begin(held, `ordinary-${index}`), `ordinary request ${index} was refused`);
	}

	t.false(begin(held, 'too many'));
	t.true(held.bytes <= maxBytes);
});

test('one request alone may take more than there is', t => {
	const held = start();
	t.true(begin(held, 'huge', {bytes: 2 * maxBytes}));
	held.delete('huge');
	t.is(held.bytes, 0);
});

test('of those that have not begun the largest is given up, so that ordinary ones go on', t => {
	const held = start();
	for (let index = 0; index < 6; index++) {
		t.deepEqual(held.add(`stalled-${index}`, {address: 'one', bytes: largeHeadBytes}), []);
	}

	t.true(begin(held, 'ordinary-0', {bytes: 100_000 / 4}));
	t.deepEqual(held.add('stalled-6', {address: 'one', bytes: largeHeadBytes}), ['stalled-0']);
	for (let index = 1; index < 5; index++) {
		t.true(begin(held, `ordinary-${index}`));
	}

	t.false(held.begin('stalled-0').isAdmitted);
	t.true(held.bytes <= maxBytes);
});

test('a request that turns out larger before anything runs is refused, and what it took is free once it has ended', t => {
	const held = start();
	begin(held, 'first', {bytes: 400_000});
	begin(held, 'second');
	t.false(held.begin('second', {bytes: largeHeadBytes}).isAdmitted);
	held.delete('second');
	held.delete('first');
	held.delete('first');
	t.is(held.bytes, 0);
});

test('requests of one address are as many as there is room for others, and are counted once', t => {
	const held = start();
	const admitted = (address: string, count: number) => Array.from({length: count}, (_, index) => {
		const name = `${address}-${index}`;
		const isAdmitted = begin(held, name, {address, isCounted: true, bytes: 100});
		if (isAdmitted) {
			held.begin(name, {isCounted: true});
		} else {
			held.delete(name);
		}

		return isAdmitted;
	}).filter(Boolean).length;
	t.is(admitted('crowd', 100), maxCount / 2);
	t.is(admitted('second', 100), maxCount / 4);
	t.is(admitted('third', 1), 1);
	held.delete('crowd-0');
	t.is(admitted('fourth', 1), 1);
});
