import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import {ledgerFixture} from './ledger-fixture.ts';

/** Time within which orders of a region are taken again after the last node of it has restarted, in milliseconds. */
const settleMs = 8000;
const seeds = 20;

test('the only keeper hands the claims over before it leaves, to a node that has just started', t => {
	const {ask, advance, stop, start, leave, status, names: [a, b, c]} = ledgerFixture();
	stop(b!);
	advance(5000);
	t.is(ask(c!, 'k1'), 'granted');
	stop(a!);
	advance(8000);
	t.is(ask(c!, 'k2'), 'granted');
	start(a!);
	leave(c!);
	advance(5000);
	start(c!);
	advance(settleMs);
	t.is(status(a!)?.role, 'active');
	t.is(ask(a!, 'k2'), 'replay');
	t.is(ask(c!, 'k1'), 'replay');
	t.is(ask(c!, 'k3'), 'granted');
});

test('a rolling restart of a region with one disk loses no claim, whatever time the nodes take to start', t => {
	for (let seed = 1; seed <= seeds; seed++) {
		const random = new SeededRandom(seed);
		const {ask, advance, stop, start, leave, log, status, names: [a, b, c]} = ledgerFixture({seed});
		stop(b!);
		advance(5000);
		const granted: string[] = [];
		for (const [index, name] of [a!, c!, a!, c!].entries()) {
			leave(name);
			advance(random.next() * 8000);
			if (ask(name === a ? c! : a!, `k${index}`) === 'granted') {
				granted.push(`k${index}`);
			}

			start(name);
			// The log's leader may be a node that has just restarted.
			log.decides = false;
			advance(random.next() * 1500);
			log.decides = true;
		}

		advance(settleMs);
		t.is(status(a!)?.role, 'active', `seed ${seed}`);
		t.deepEqual(granted.map(key => ask(c!, key)), granted.map(() => 'replay'), `seed ${seed}`);
		t.is(ask(c!, 'last'), 'granted', `seed ${seed}`);
	}
});

test('nodes of a region that all leave at once do not wait for each other', t => {
	const {advance, processes, network, names: [a, b, c]} = ledgerFixture();
	advance(5000);
	const leaving = [a!, b!, c!].map(name => processes.get(name)!);
	for (const process of leaving) {
		process.draining = true;
		process.ledger.drain(network.now);
	}

	advance(1500);
	t.deepEqual(leaving.map(({ledger}) => ledger.drained(network.now)), [true, true, true]);
});

test('a keeper whose claims nobody takes over leaves all the same', t => {
	const {advance, processes, network, cuts, names: [a, b, c]} = ledgerFixture();
	advance(5000);
	for (const name of [a!, b!]) {
		cuts.add(`${name}>${c!}`);
		cuts.add(`${c!}>${name}`);
	}

	const {ledger} = processes.get(c!)!;
	ledger.drain(network.now);
	advance(12_000);
	t.true(ledger.drained(network.now));
});

// Guards against claims that are lost since the node that took them over had started again, without a disk, before the last one left.
test('a leaving keeper stays while the node that took its claims over has lost them', t => {
	const {ask, advance, processes, network, stop, start, log, names: [a, b, c]} = ledgerFixture();
	stop(a!);
	advance(8000);
	t.is(ask(c!, 'k1'), 'granted');
	const leaving = processes.get(c!)!;
	leaving.draining = true;
	leaving.ledger.drain(network.now);
	advance(2000);
	log.decides = false;
	stop(b!);
	start(b!);
	advance(2000);
	t.false(leaving.ledger.drained(network.now), 'no other node has the claims');
	log.decides = true;
	while (!leaving.ledger.drained(network.now)) {
		advance(50);
	}

	stop(c!);
	advance(8000);
	t.is(ask(b!, 'k1'), 'replay');
	t.is(ask(b!, 'k2'), 'granted');
});
