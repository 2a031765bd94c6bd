import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import {HeldBodies} from '../../../src/core/memory/held-bodies.ts';

const maxBytes = 1_000_000;
const chunkBytes = 16_384;
const stallMs = 5000;
const abusers = 40;
const ordinaryBytes = 4096;

const at = (ms: number) => ms as Millis;

for (let seed = 1; seed <= 5; seed++) {
	// Guards against processes that ran out of memory on many bodies that stop short of their end, or refuse ordinary callers because of them.
	test(`bodies that stop short stay bounded together, and ordinary bodies are held, seed ${seed}`, t => {
		const random = new SeededRandom(seed);
		const bodies = new HeldBodies<string>({maxBytes, stallMs});
		const open = new Set<string>();
		for (let step = 0; step < 3000; step++) {
			const now = at(step * 10);
			const ordinary = `ordinary-${step}`;
			bodies.add(ordinary, '10.0.0.1', now);
			bodies.receive(ordinary, ordinaryBytes, now);
			const {held, evicted} = bodies.grow(ordinary, ordinaryBytes, now);
			t.true(held);
			bodies.complete(ordinary, ordinaryBytes);
			const abuser = `abuser-${Math.floor(random.next() * abusers)}`;
			if (!open.has(abuser)) {
				open.add(abuser);
				bodies.add(abuser, '10.0.0.2', now);
			}

			bodies.receive(abuser, chunkBytes, now);
			const growth = bodies.grow(abuser, chunkBytes, now);
			for (const {holder} of [...evicted, ...growth.evicted]) {
				t.true(holder.startsWith('abuser'));
				open.delete(holder);
			}

			bodies.delete(`ordinary-${step - 20}`);
			t.true(bodies.bytes <= maxBytes);
		}
	});
}

test('a stalled body is given up before a larger one that grows', t => {
	const bodies = new HeldBodies<string>({maxBytes, stallMs});
	bodies.add('stalled', 'a', at(0));
	bodies.add('growing', 'b', at(0));
	bodies.grow('stalled', 100_000, at(0));
	bodies.grow('growing', 800_000, at(0));
	bodies.receive('growing', 800_000, at(stallMs));
	bodies.add('new', 'c', at(stallMs));
	t.deepEqual(bodies.grow('new', 150_000, at(stallMs)), {held: true, evicted: [{holder: 'stalled', reason: 'stalled'}]});
});

test('the largest body of the address that holds most is given up', t => {
	const bodies = new HeldBodies<string>({maxBytes, stallMs});
	for (const [holder, address, bytes] of [['a1', 'a', 250_000], ['a2', 'a', 300_000], ['b1', 'b', 400_000]] as const) {
		bodies.add(holder, address, at(0));
		bodies.grow(holder, bytes, at(0));
	}

	bodies.add('c1', 'c', at(1));
	t.deepEqual(bodies.grow('c1', 100_000, at(1)), {held: true, evicted: [{holder: 'a2', reason: 'largest'}]});
});

test('a whole body is not given up, since its request may run; the newcomer has no room then', t => {
	const bodies = new HeldBodies<string>({maxBytes, stallMs});
	bodies.add('whole', 'a', at(0));
	bodies.grow('whole', maxBytes, at(0));
	bodies.complete('whole', maxBytes);
	bodies.add('new', 'b', at(2 * stallMs));
	t.deepEqual(bodies.grow('new', 1, at(2 * stallMs)), {held: false, evicted: []});
	bodies.delete('whole');
	t.deepEqual(bodies.grow('new', 1, at(2 * stallMs)), {held: true, evicted: []});
	t.is(bodies.bytes, 1);
});

test('one body alone may exceed the bound', t => {
	const bodies = new HeldBodies<string>({maxBytes, stallMs});
	bodies.add('large', 'a', at(0));
	t.true(bodies.grow('large', maxBytes, at(0)).held);
	t.true(bodies.grow('large', maxBytes, at(0)).held);
	bodies.delete('large');
	t.is(bodies.bytes, 0);
});
