import test from 'ava';
import fc from 'fast-check';
import {SuspectPoisonGuard} from '../../../src/core/attempts/suspect-poison-guard.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {PoisonNetwork} from '../../fixtures/attempts/poison-network.ts';
import {RecordingOutbox} from '../../fixtures/recording-outbox.ts';

/** Crashes of a poisonous part: five until it counts as such, and three requests that reach targets afterwards. */
const maxPartCrashes = 8;
const bystanders = ['a', 'b', 'c', 'd', 'e', 'f'];

test('with retries at every entry and lost messages, a poison request crashes at most two targets and other requests are served', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), fc.constantFrom(0, 0.1, 0.3), (seed, loss) => {
		const network = new PoisonNetwork({seed, loss});
		for (const [index, name] of bystanders.entries()) {
			network.send(index % 2, name);
		}

		network.send(seed % 6, 'poison');
		network.advance(200);
		for (let resend = 0; resend < 40; resend++) {
			network.advance(250);
			network.send((seed + resend) % 6, 'poison');
		}

		network.advance(60_000);
		const open = network.runs.filter(run => run.state !== 'whole' && run.fingerprint !== 'poison');
		const cleared = network.entries.every((_, index) => network.send(index, 'a').state === 'running');
		return cleared && network.crashes.get('poison')! <= 2 && network.suspectOverlaps === 0 && open.length === 0
			&& network.runs.every(run => run.fingerprint !== 'poison' || run.state === 'refused');
	}), {seed: 20_261, numRuns: 40});
	t.pass();
});

test('new requests with a poisonous part of their prompts crash few targets, and others with their other parts are served', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), fc.constantFrom(0, 0.1), (seed, loss) => {
		const network = new PoisonNetwork({seed, loss});
		const sound = [];
		for (let round = 0; round < 120; round++) {
			if (round > 20 && round % 4 === 0) {
				network.send((seed + round) % 6, `poisoned-${round}`, ['instructions', 'poison']);
			}

			sound.push(network.send(round % 6, `sound-${round}`, ['instructions', `document-${round % 7}`]));
			network.advance(250);
		}

		network.advance(60_000);
		return (network.crashes.get('poison') ?? 0) <= maxPartCrashes && sound.every(({state}) => state === 'whole');
	}), {seed: 20_265, numRuns: 20});
	t.pass();
});

test('a poison request sent to two entries at almost the same time crashes at most two targets', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), fc.nat(5), fc.nat(5), fc.nat(9), (seed, first, second, steps) => {
		const network = new PoisonNetwork({seed, loss: 0.1});
		network.send(first, 'poison');
		network.advance(steps * 10);
		network.send(second, 'poison');
		network.advance(5000);
		network.send((first + 1) % 6, 'poison');
		network.send((second + 1) % 6, 'poison');
		network.advance(60_000);
		return network.crashes.get('poison')! <= 2 && network.suspectOverlaps === 0;
	}), {seed: 20_262, numRuns: 100});
	t.pass();
});

test('two poison requests never share a target, and each crashes at most two', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), seed => {
		const network = new PoisonNetwork({seed, poison: ['first', 'second'], loss: 0.1});
		network.send(0, 'first');
		network.send(1, 'second');
		for (const name of bystanders) {
			network.send(0, name);
		}

		network.advance(120_000);
		return network.suspectOverlaps === 0
			&& (network.crashes.get('first') ?? 0) <= 2
			&& (network.crashes.get('second') ?? 0) <= 2;
	}), {seed: 20_263, numRuns: 40});
	t.pass();
});

test('a frequently repeated request is served every time, even next to a poison request', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), seed => {
		const network = new PoisonNetwork({seed});
		for (let round = 0; round < 100; round++) {
			if (round % 8 === 3) {
				network.send((seed + round) % 6, 'poison');
			}

			network.send(round % 6, 'status of order 7');
			network.advance(50);
		}

		network.advance(60_000);
		return network.crashes.get('poison')! <= 2
			&& network.runs.every(run => run.state === (run.fingerprint === 'poison' ? 'refused' : 'whole'));
	}), {seed: 20_264, numRuns: 40});
	t.pass();
});

test('a restarted entry learns of suspects before the next periodic exchange', t => {
	const network = new PoisonNetwork({seed: 9});
	network.send(0, 'poison');
	network.advance(10_000);
	t.is(network.crashes.get('poison'), 2);
	for (const index of network.entries.keys()) {
		network.restart(index);
		network.advance(200);
		t.is(network.send(index, 'poison').state, 'refused');
	}
});

test('a suspicion is withdrawn when the target continues as the same incarnation', t => {
	const guard = new SuspectPoisonGuard({
		self: toId<NodeId>('entry-1'), peers: () => [], remoteEntries: () => [], outbox: new RecordingOutbox(),
	});
	const now = 0 as Millis;
	guard.targetCrashed(toId('engine-1'), 3, ['x'], now);
	t.is(guard.classify('x', now).type, 'alone');
	t.true(guard.isCrashSuspected(toId('engine-1'), 3));
	t.false(guard.isCrashSuspected(toId('engine-1'), 4));
	guard.targetSurvived(toId('engine-1'), 3, now);
	t.is(guard.classify('x', now).type, 'free');
	guard.targetCrashed(toId('engine-1'), 4, ['x'], now);
	guard.targetCrashed(toId('engine-2'), 1, ['x'], now);
	t.is(guard.classify('x', now).type, 'refused');
	t.is(guard.classify('x', 3_600_000 as Millis).type, 'alone', 'the refusal has ended, but the record has not expired yet: the request runs alone');
});

test('once a request is refused, those that shared its target run without restriction, but their next crash counts', t => {
	const guard = new SuspectPoisonGuard({
		self: toId<NodeId>('entry-1'), peers: () => [], remoteEntries: () => [], outbox: new RecordingOutbox(),
	});
	const now = 0 as Millis;
	guard.targetCrashed(toId('engine-1'), 1, ['poison', 'a', 'b'], now);
	t.is(guard.classify('a', now).type, 'alone');
	guard.targetCrashed(toId('engine-2'), 1, ['poison'], now);
	t.is(guard.classify('poison', now).type, 'refused');
	t.is(guard.classify('a', now).type, 'free');
	guard.targetCrashed(toId('engine-3'), 1, ['a'], now);
	t.is(guard.classify('a', now).type, 'refused');
	guard.attemptSucceeded('b', toId('engine-4'), now);
	guard.targetCrashed(toId('engine-3'), 1, ['b'], now);
	t.is(guard.classify('b', now).type, 'free', 'the crash of engine-3 is explained');
});

test('the number of suspects kept is bounded', t => {
	const outbox = new RecordingOutbox();
	const guard = new SuspectPoisonGuard({
		self: toId<NodeId>('entry-1'), peers: () => [], remoteEntries: () => [], outbox, maxSuspects: 10,
	});
	for (let index = 0; index < 50; index++) {
		guard.targetCrashed(toId('engine-1'), index, [`x${index}`], index as Millis);
	}

	t.is(guard.classify('x49', 50 as Millis).type, 'alone');
	t.is(guard.classify('x0', 50 as Millis).type, 'free');
	guard.tick(700_000 as Millis);
	t.is(guard.classify('x49', 700_000 as Millis).type, 'free');
});
