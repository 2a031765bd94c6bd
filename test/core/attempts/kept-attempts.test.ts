import test, {type ExecutionContext} from 'ava';
import type {AttemptFailure} from '../../../src/core/attempts/attempt-failure.ts';
import {SuspectPoisonGuard} from '../../../src/core/attempts/suspect-poison-guard.ts';
import type {AttemptId} from '../../../src/core/ids/attempt-id.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {RouteSettings} from '../../../src/core/settings/route-settings.ts';
import {CoordinatorHarness} from '../../fixtures/attempts/coordinator-harness.ts';
import {RecordingOutbox} from '../../fixtures/recording-outbox.ts';

/** Requests whose retries spend the retry budget of a route. */
const spendingRequests = 60;

const first = 'engine-1';
const second = 'engine-2';
const full = {reason: 'refused', notSent: true, refusal: {result: 'overloaded', ran: 'no'}} as const;
const notReached = {reason: 'connect', notSent: true} as const;

/** Events of a stream that arrive now. */
function progress(harness: CoordinatorHarness, attemptId: AttemptId, tokens: number): void {
	harness.coordinator.attemptProgress(attemptId, {tokens, bytes: tokens * 50}, harness.now);
}

/** A stream that has passed three events on and whose target is lost, with another target beside it. */
function lostStream(settings: Partial<RouteSettings> = {}): {harness: CoordinatorHarness; attemptId: AttemptId} {
	const harness = new CoordinatorHarness({settings});
	const lost = harness.targets.add(first);
	const {attemptId} = harness.request('r1')!;
	harness.targets.add(second);
	progress(harness, attemptId, 3);
	harness.advance(1500);
	harness.targets.remove(lost);
	harness.coordinator.targetsLost([lost], harness.now);
	return {harness, attemptId};
}

/** A stream that has passed three events on at a target that cannot be reached since. */
function unreachableStream(): {harness: CoordinatorHarness; attemptId: AttemptId} {
	const harness = new CoordinatorHarness();
	const target = harness.targets.add(first);
	const {attemptId} = harness.request('r1')!;
	progress(harness, attemptId, 3);
	harness.targets.recordConnection(target, false, harness.now);
	return {harness, attemptId};
}

/** A request whose first byte is late, with another target beside its own. */
function lateRequest(): {harness: CoordinatorHarness; attemptId: AttemptId} {
	const harness = new CoordinatorHarness();
	harness.targets.add(first);
	const {attemptId} = harness.request('r1')!;
	harness.targets.add(second);
	harness.advance(16_000);
	return {harness, attemptId};
}

/** The first target goes on: the request is neither refused nor run twice, and completes with its answer. */
function assertGoesOn(t: ExecutionContext, {harness, attemptId}: {harness: CoordinatorHarness; attemptId: AttemptId}): void {
	t.deepEqual(harness.finalAnswers('r1'), []);
	t.false(harness.cancelled().includes(attemptId));
	progress(harness, attemptId, 6);
	harness.end(attemptId);
	t.like(harness.finalAnswers('r1'), [{type: 'complete', attemptId}]);
	t.is(harness.finalAnswers('r1').length, 1);
	t.is(harness.coordinator.inFlight(), 0);
	t.true(harness.starts('r1').slice(1).every(({standby}) => standby));
}

function spendRetries(harness: CoordinatorHarness): void {
	for (let index = 0; index < spendingRequests; index++) {
		const start = harness.request(`spending-${index}`);
		if (start) {
			harness.fail(start.attemptId, full);
		}

		const retry = harness.lastStart(`spending-${index}`);
		if (retry) {
			harness.end(retry.attemptId);
		}
	}
}

const failures: ReadonlyArray<readonly [way: string, failure: Partial<AttemptFailure>]> = [
	['is full', full],
	['cannot be reached', notReached],
	['answers 503', {reason: 'error-status', status: 503}],
	['breaks off before its first byte', {reason: 'reset'}],
];

for (const [way, failure] of failures) {
	test(`a stream ends, since the target that was to take it over ${way}`, t => {
		const stream = lostStream();
		t.is(stream.harness.lastStart('r1')!.targetId, toId<TargetId>(second));
		stream.harness.fail(stream.harness.lastStart('r1')!.attemptId, failure);
		stream.harness.advance(1000);
		assertGoesOn(t, stream);
	});

	test(`a request whose first byte is late ends, since the target that was to take it over ${way}`, t => {
		const late = lateRequest();
		t.is(late.harness.lastStart('r1')!.targetId, toId<TargetId>(second));
		late.harness.fail(late.harness.lastStart('r1')!.attemptId, failure);
		late.harness.advance(1000);
		assertGoesOn(t, late);
	});
}

test('a stream ends, since the target that was to take it over breaks off between its head and its first event', t => {
	const stream = lostStream({maxAttempts: 2});
	const {harness} = stream;
	const successor = harness.lastStart('r1')!;
	harness.coordinator.attemptFirstByte(successor.attemptId, harness.now);
	harness.fail(successor.attemptId, {reason: 'reset'});
	harness.advance(1000);
	assertGoesOn(t, stream);
});

test('a stream ends, since its retries are used up when the target that was to take it over refuses it', t => {
	const stream = lostStream({maxAttempts: 2});
	stream.harness.fail(stream.harness.lastStart('r1')!.attemptId, full);
	assertGoesOn(t, stream);
});

test('a stream ends, since its route has no retry left when its target cannot be reached', t => {
	const stream = unreachableStream();
	stream.harness.targets.add(second);
	stream.harness.targets.add('engine-3');
	for (let step = 0; step < 30; step++) {
		stream.harness.now = stream.harness.now + 100 as Millis;
		spendRetries(stream.harness);
		stream.harness.coordinator.tick(stream.harness.now);
	}

	t.is(stream.harness.starts('r1').length, 1);
	t.true(stream.harness.outbox.counts.get('retries:budget_exhausted')! > 0);
	assertGoesOn(t, stream);
});

test('a stream ends, since it waits for a place elsewhere until its time is over', t => {
	const {harness, attemptId} = unreachableStream();
	const busy = harness.targets.add(second);
	for (let index = 0; index < 8; index++) {
		harness.targets.recordStart(busy);
	}

	harness.tree.settings.set('prairie/print/proofer/drafts', {...harness.tree.settings.get('prairie/print/proofer/drafts')!, targetConcurrency: 8});
	harness.advance(60_000);
	assertGoesOn(t, {harness, attemptId});
});

test('a stream ends, since the queue is full when its target cannot be reached', t => {
	const {harness, attemptId} = unreachableStream();
	const busy = harness.targets.add(second);
	for (let index = 0; index < 8; index++) {
		harness.targets.recordStart(busy);
	}

	harness.tree.settings.set('prairie/print/proofer/drafts', {...harness.tree.settings.get('prairie/print/proofer/drafts')!, targetConcurrency: 8, queueLimit: 0});
	harness.advance(5000);
	t.true(harness.outbox.counts.get('retries:silence')! <= 5, 'retries are not spent with each tick');
	assertGoesOn(t, {harness, attemptId});
});

test('a request that was forwarded ends, since no other region takes it once its own entry is unreachable', t => {
	const harness = new CoordinatorHarness();
	const lost = harness.membership.addRegion('saskatoon-a', {'entry-5': 1});
	const {attemptId} = harness.request('r1')!;
	harness.membership.addRegion('winnipeg-a', {'entry-6': 1});
	harness.advance(2000);
	harness.membership.removeRegion(lost);
	harness.advance(1000);
	t.is(harness.lastStart('r1')!.forwardTo, toId<NodeId>('entry-6'));
	harness.fail(harness.lastStart('r1')!.attemptId, {reason: 'refused', notSent: true, refusal: {result: 'noTarget', ran: 'no'}});
	assertGoesOn(t, {harness, attemptId});
});

test('a stream ends while the entry drains, since the target that was to take it over refuses it', t => {
	const stream = lostStream();
	stream.harness.coordinator.drain();
	stream.harness.fail(stream.harness.lastStart('r1')!.attemptId, full);
	stream.harness.advance(1000);
	assertGoesOn(t, stream);
	t.true(stream.harness.coordinator.drained());
});

test('a stream that goes on while it waits for a place elsewhere is sent there all the same', t => {
	const {harness, attemptId} = unreachableStream();
	const busy = harness.targets.add(second);
	for (let index = 0; index < 8; index++) {
		harness.targets.recordStart(busy);
	}

	harness.tree.settings.set('prairie/print/proofer/drafts', {...harness.tree.settings.get('prairie/print/proofer/drafts')!, targetConcurrency: 8});
	harness.advance(1500);
	t.is(harness.outbox.counts.get('retries:silence'), 1);
	progress(harness, attemptId, 4);
	harness.targets.recordOutcome(busy, {
		result: 'whole', promptTokens: 1, cachedTokens: 0, outputTokens: 1, predictedOutputTokens: 1, totalMs: 1,
	});
	harness.advance(900);
	t.is(harness.starts('r1').length, 1);
	assertGoesOn(t, {harness, attemptId});
});

test('a target goes on before another one has taken its stream over, and both run', t => {
	const {harness, attemptId} = lostStream();
	const successor = harness.lastStart('r1')!;
	progress(harness, attemptId, 4);
	t.deepEqual(harness.cancelled(), [successor.attemptId]);
	progress(harness, successor.attemptId, 1);
	harness.end(successor.attemptId);
	t.deepEqual(harness.finalAnswers('r1'), []);
	t.deepEqual(harness.actions.filter(({type}) => type === 'hand-over'), []);
	harness.end(attemptId);
	t.like(harness.finalAnswers('r1'), [{type: 'complete', attemptId}]);
});

test('two targets write to a caller after its request was taken over', t => {
	const {harness, attemptId} = lostStream();
	const successor = harness.lastStart('r1')!;
	t.like(successor, {resume: true, standby: true});
	harness.coordinator.attemptFirstByte(successor.attemptId, harness.now);
	t.deepEqual(harness.cancelled(), [], 'its head brings no event');
	progress(harness, successor.attemptId, 1);
	const last = harness.actions.slice(-2);
	t.like(last, [{type: 'cancel-attempt', attemptId}, {type: 'hand-over', attemptId: successor.attemptId, resume: true}]);
	progress(harness, attemptId, 9);
	harness.end(attemptId);
	t.deepEqual(harness.finalAnswers('r1'), []);
	harness.end(successor.attemptId);
	t.like(harness.finalAnswers('r1'), [{type: 'complete', attemptId: successor.attemptId}]);
	t.is(harness.actions.filter(({type}) => type === 'hand-over').length, 1);
});

test('a stream that is silent for longer than its timeout ends although another target takes it over', t => {
	const {harness, attemptId} = lostStream();
	const successor = harness.lastStart('r1')!;
	harness.fail(attemptId, {reason: 'silence', passedOn: true, tokens: 3});
	t.deepEqual(harness.finalAnswers('r1'), []);
	harness.coordinator.attemptFirstByte(successor.attemptId, harness.now);
	progress(harness, successor.attemptId, 1);
	t.like(harness.actions.at(-1), {type: 'hand-over', attemptId: successor.attemptId});
	harness.end(successor.attemptId);
	t.like(harness.finalAnswers('r1'), [{type: 'complete', attemptId: successor.attemptId}]);
});

test('an attempt goes on after its caller has left', t => {
	const {harness, attemptId} = lostStream();
	harness.coordinator.handleCallerGone(toId('r1'), harness.now);
	t.deepEqual(harness.cancelled(), [attemptId, harness.lastStart('r1')!.attemptId]);
	t.is(harness.targets.outcomes.length, 2);
	t.is(harness.coordinator.inFlight(), 0);
});

test('the tokens that a caller got count twice when a stream goes on and is lost again', t => {
	const {harness, attemptId} = lostStream();
	harness.targets.add('engine-3');
	progress(harness, attemptId, 4);
	harness.fail(attemptId, {passedOn: true, tokens: 4});
	t.like(harness.lastStart('r1'), {targetId: 'engine-3', resume: true, standby: false});
	t.is(harness.router.queries.at(-1)!.req.outputTokens, 196);
});

test('a suspect runs at two targets at once, or ends since no target may take it over', t => {
	const outbox = new RecordingOutbox();
	const poison = new SuspectPoisonGuard({
		self: toId<NodeId>('entry-1'), peers: () => [toId<NodeId>('entry-2')], remoteEntries: () => [], outbox,
	});
	const harness = new CoordinatorHarness({poison});
	const lost = harness.targets.add(first);
	const {attemptId} = harness.request('r1')!;
	harness.targets.add(second);
	progress(harness, attemptId, 3);
	harness.advance(1500);
	harness.targets.remove(lost);
	harness.coordinator.targetsLost([lost], harness.now);
	t.is(poison.classify('content-of-r1', harness.now).type, 'alone');
	harness.advance(1000);
	t.is(harness.starts('r1').length, 1, 'the other entry has not granted the permit');
	t.deepEqual(harness.cancelled(), []);
	const request = outbox.sent.map(({message}) => message).find(message => message.part === 'poison' && message.body.type === 'permit-request');
	t.truthy(request);
	progress(harness, attemptId, 4);
	t.deepEqual(harness.cancelled(), []);
	harness.end(attemptId);
	t.like(harness.finalAnswers('r1'), [{type: 'complete', attemptId}]);

	const granted = new CoordinatorHarness({
		poison: new SuspectPoisonGuard({
			self: toId<NodeId>('entry-1'), peers: () => [], remoteEntries: () => [], outbox: new RecordingOutbox(),
		}),
	});
	const gone = granted.targets.add(first);
	const before = granted.request('r1')!;
	granted.targets.add(second);
	granted.advance(1500);
	granted.targets.remove(gone);
	granted.coordinator.targetsLost([gone], granted.now);
	t.deepEqual(granted.cancelled(), [before.attemptId], 'it ends once the other target is sure');
	t.like(granted.lastStart('r1'), {targetId: second, standby: false});
});
