import test from 'ava';
import {ledgerFixture} from './ledger-fixture.ts';

/** A region in which `a` (with a disk) and `c` (without) are the keepers of epoch 1. */
function settled(options: Parameters<typeof ledgerFixture>[0] = {}) {
	const fixture = ledgerFixture(options);
	fixture.advance(3000);
	const [a, b, c, x] = fixture.names;
	return {
		...fixture, a: a!, b: b!, c: c!, x: x!,
	};
}

test('a retry gets the stored answer at any entry; another request with the same key is refused', t => {
	const {ask, b, c, x} = settled();
	t.is(ask(b, 'k'), 'granted');
	t.is(ask(b, 'k'), 'replay');
	t.is(ask(x, 'k'), 'replay');
	t.is(ask(c, 'k', {fingerprint: 'other'}), 'key-reused');
});

test('a retry of a running request is in progress; after its entry died it may have run', t => {
	const {ask, stop, b, c, x} = settled();
	t.is(ask(x, 'k', {ending: 'never'}), 'granted');
	t.is(ask(b, 'k'), 'in-progress');
	stop(x);
	t.is(ask(b, 'k'), 'may-have-run');
	t.is(ask(c, 'k'), 'may-have-run');
});

test('a released key can be claimed again; one whose request ended as unknown cannot', t => {
	const {ask, b, c} = settled();
	t.is(ask(b, 'k', {ending: 'release'}), 'granted');
	t.is(ask(c, 'k', {ending: 'unknown'}), 'granted');
	t.is(ask(b, 'k'), 'may-have-run');
});

test('a claim that was not granted before its entry died does not block the key', t => {
	const {ask, claim, stop, cuts, advance, a, b, x} = settled();
	cuts.add(`${x}>${a}`);
	claim(x, 'k');
	advance(500);
	stop(x);
	t.is(ask(b, 'k'), 'granted');
});

// Guards against a region that refuses its orders for good, since its keeper's disk was full for a moment.
test('new keys are granted again once the disk of a keeper has room, and its restart loses none', t => {
	const {ask, claim, stop, start, advance, network, outcomes, status, a, b, c, x} = settled();
	t.is(ask(b, 'k1'), 'granted');
	network.fullDisks.add(a);
	t.is(ask(b, 'k2'), 'unavailable');
	const unfinished = claim(x, 'k3', {ending: 'unknown'});
	advance(1000);
	network.fullDisks.delete(a);
	advance(3000);
	t.is(status(a)?.role, 'active');
	t.is(ask(b, 'k4'), 'granted');
	t.is(ask(c, 'k1'), 'replay');
	stop(a);
	start(a);
	advance(3000);
	t.is(ask(c, 'k1'), 'replay');
	t.is(ask(c, 'k4'), 'replay');
	t.is(ask(c, 'k3'), outcomes.get(unfinished)?.type === 'granted' ? 'may-have-run' : 'granted');
});

// Guards against a keeper that is never active, since the record that makes it so could not be written.
test('a keeper whose disk is full while it becomes active serves once the disk has room, and after a restart', t => {
	const fixture = ledgerFixture();
	const a = fixture.names[0]!;
	const b = fixture.names[1]!;
	fixture.network.fullDisks.add(a);
	fixture.advance(3000);
	t.not(fixture.status(a)?.role, 'active');
	fixture.network.fullDisks.delete(a);
	fixture.advance(3000);
	t.is(fixture.status(a)?.role, 'active');
	t.is(fixture.ask(b, 'k'), 'granted');
	fixture.stop(a);
	fixture.start(a);
	fixture.advance(3000);
	t.is(fixture.ask(b, 'k'), 'replay');
});

test('claims survive a killed keeper, a lost disk, and a restart of the whole region', t => {
	const {ask, stop, start, advance, status, names, a, b, c} = settled();
	t.is(ask(b, 'k1'), 'granted');
	stop(c);
	advance(6000);
	t.is(ask(b, 'k1'), 'replay');
	t.is(ask(b, 'k2', {ending: 'never'}), 'granted');
	start(c);
	stop(a);
	start(a, {diskLost: true});
	advance(6000);
	t.is(ask(c, 'k2'), 'in-progress');
	t.is(ask(c, 'k3'), 'granted');
	for (const name of names) {
		stop(name);
	}

	for (const name of names) {
		start(name);
	}

	advance(6000);
	t.is(status(a)?.role, 'active');
	t.is(ask(c, 'k1'), 'replay');
	t.is(ask(c, 'k2'), 'may-have-run');
	t.is(ask(c, 'k3'), 'replay');
	t.is(ask(c, 'k4'), 'granted');
});

test('after all keepers lost their claims nothing is granted until an operator accepts the loss', t => {
	const {ask, stop, start, advance, status, processes, network, a, b, c} = settled();
	t.is(ask(b, 'k'), 'granted');
	t.false(processes.get(a)!.ledger.acceptLoss(network.now));
	for (const name of [a, b, c]) {
		stop(name);
		start(name, {diskLost: true});
	}

	advance(20_000);
	t.is(status(a)?.role, 'lost');
	t.is(ask(b, 'k'), 'unavailable');
	t.true(processes.get(a)!.ledger.acceptLoss(network.now));
	advance(2000);
	t.is(ask(b, 'k2'), 'granted');
});

// Guards against a region that refuses its orders for good, since an operator cannot decide on keepers that never come back.
test('an operator can accept the loss of claims whose keepers are gone for good, and not while one of them may still answer', t => {
	const {ask, stop, start, advance, status, processes, network, outcomes, claim, a, b, c} = settled();
	t.is(ask(b, 'k'), 'granted');
	stop(a);
	stop(c);
	advance(90_000);
	t.is(status(b)?.role, 'joining');
	t.false(processes.get(b)!.ledger.acceptLoss(network.now));
	advance(60_000);
	t.is(status(b)?.role, 'lost');
	t.is(ask(b, 'k'), 'unavailable');
	start(a);
	advance(8000);
	t.is(ask(b, 'k'), 'replay', 'a keeper that comes back with its disk has them');
	stop(a);
	stop(b);
	start(c);
	advance(140_000);
	t.is(status(c)?.role, 'lost');
	t.true(processes.get(c)!.ledger.acceptLoss(network.now));
	advance(2000);
	const requestId = claim(c, 'k2');
	advance(2500);
	t.is(outcomes.get(requestId)?.type, 'granted');
});

test('without the replicated log a region grants claims while all its keepers run, and refuses them as not run while one is missing', t => {
	const {ask, claim, advance, outcomes, freeze, thaw, log, b, c} = settled();
	log.decides = false;
	t.is(ask(b, 'k1'), 'granted');
	freeze(c);
	const refused = claim(b, 'k2');
	advance(2500);
	t.deepEqual(outcomes.get(refused), {type: 'unavailable', retryAfterMs: 1000, ran: 'no'});
	thaw(c);
	t.is(ask(b, 'k2'), 'granted');
});

test('a keeper that was replaced while frozen does not serve its old epoch', t => {
	const {ask, advance, freeze, thaw, log, status, a, b, c} = settled();
	freeze(c);
	advance(10_000);
	t.deepEqual(log.set?.members, [a, b]);
	t.is(ask(b, 'k', {ending: 'never'}), 'granted');
	thaw(c);
	t.is(ask(c, 'k'), 'in-progress');
	t.is(status(c)?.role, 'none');
});

test('beyond the limits on answers and keys a retry is refused and never runs again', t => {
	const {ask, b, c} = settled({maxClaims: 3, maxAnswerBytes: 2 * ('k1'.length + 'text/plain'.length)});
	t.is(ask(b, 'k1'), 'granted');
	t.is(ask(b, 'k2'), 'granted');
	t.is(ask(b, 'k3'), 'granted');
	t.is(ask(c, 'k1'), 'may-have-run');
	t.is(ask(c, 'k3'), 'replay');
	t.is(ask(b, 'k4'), 'unavailable');
	t.is(ask(b, 'k2'), 'replay');
});

test('a key expires only after its keep time', t => {
	const {ask, advance, b} = settled();
	t.is(ask(b, 'k', {keepMs: 20_000}), 'granted');
	advance(10_000);
	t.is(ask(b, 'k', {keepMs: 20_000}), 'replay');
	advance(20_000);
	t.is(ask(b, 'k', {keepMs: 20_000}), 'granted');
});

test('the journal is compacted and still holds every claim', t => {
	const {claim, ask, advance, network, stop, start, a, b, c} = settled();
	for (let index = 0; index < 2500; index++) {
		claim(b, `k${index}`, {ending: index < 2490 ? 'release' : 'done'});
	}

	advance(5000);
	t.true(network.disks.get(a)!.length < 2100);
	for (const name of [a, b, c]) {
		stop(name);
		start(name);
	}

	advance(6000);
	t.is(ask(b, 'k2495'), 'replay');
});

test('a new keeper that goes before it has taken the claims over is replaced, and no claim is lost', t => {
	for (let seed = 1; seed <= 20; seed++) {
		const {ask, stop, start, advance, log, status, a, b, c, x} = settled({seed});
		t.is(ask(x, 'k'), 'granted', `seed ${seed}`);
		const {epoch} = log.set!;
		stop(c);
		while (log.set!.epoch === epoch) {
			advance(50);
		}

		advance(seed * 40);
		stop(b);
		advance(8000);
		t.is(status(a)?.role, 'active', `seed ${seed}`);
		t.is(ask(x, 'k'), 'replay', `seed ${seed}`);
		start(c);
		advance(8000);
		t.is(ask(x, 'k'), 'replay', `seed ${seed}`);
		t.is(ask(x, 'k2'), 'granted', `seed ${seed}`);
		stop(a);
		advance(8000);
		t.is(ask(x, 'k2'), 'replay', `seed ${seed}`);
	}
});

test('a keeper that comes back with its disk after many sets in which nothing was granted has its claims', t => {
	const {ask, stop, start, advance, log, status, a, b, c, x} = settled();
	t.is(ask(x, 'k'), 'granted');
	stop(a);
	stop(c);
	advance(65_000);
	const {epoch} = log.set!;
	for (let count = 0; count < 4; count++) {
		start(c);
		advance(5000);
		stop(c);
		advance(5000);
	}

	t.true(log.set!.epoch >= epoch + 4, `${log.set!.epoch - epoch} sets`);
	start(a);
	advance(20_000);
	t.is(status(a)?.role, 'active');
	t.is(ask(b, 'k'), 'replay');
	t.is(ask(b, 'k2'), 'granted');
});
