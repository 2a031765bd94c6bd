import test from 'ava';
import {overlapLimitMs} from '../../../src/core/common/overlap-limit-ms.ts';
import type {AttemptId} from '../../../src/core/ids/attempt-id.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {CoordinatorHarness} from '../../fixtures/attempts/coordinator-harness.ts';

/** Interval between two ticks, in milliseconds. */
const tickMs = 100;
/** Time after which two targets may no longer be at work, by the platform's rule, in milliseconds. */
const ruleMs = 400;

type TakenOver = {readonly harness: CoordinatorHarness; readonly kept: AttemptId; readonly successor: AttemptId};

function progress(harness: CoordinatorHarness, attemptId: AttemptId, tokens: number): void {
	harness.coordinator.attemptProgress(attemptId, {tokens, bytes: tokens * 50}, harness.now);
}

/** A stream whose target is lost after its head, or after `tokens` tokens, and that was sent to another target beside it. */
function takenOver(tokens: number): TakenOver {
	const harness = new CoordinatorHarness();
	const lost = harness.targets.add('engine-1');
	const {attemptId: kept} = harness.request('r1')!;
	harness.coordinator.attemptFirstByte(kept, harness.now);
	if (tokens > 0) {
		progress(harness, kept, tokens);
	}

	harness.targets.add('engine-2');
	harness.advance(1500);
	harness.targets.remove(lost);
	harness.coordinator.targetsLost([lost], harness.now);
	return {harness, kept, successor: harness.lastStart('r1')!.attemptId};
}

function handedOver({harness}: TakenOver): readonly AttemptId[] {
	return harness.actions.flatMap(action => action.type === 'hand-over' ? [action.attemptId] : []);
}

function events({outbox}: CoordinatorHarness, name: string) {
	return outbox.events.filter(({event}) => event === name).map(({fields}) => fields);
}

// Guards against two targets at work on a stream while its new one brings a head and no event for long.
for (const tokens of [3, 0]) {
	test(`two targets work on a stream after the later one's head, the earlier one having brought ${tokens} tokens`, t => {
		const stream = takenOver(tokens);
		const {harness, kept, successor} = stream;
		harness.advance(1000);
		t.deepEqual(harness.cancelled(), [], 'nothing shows that the later one works');
		harness.coordinator.attemptFirstByte(successor, harness.now);
		harness.advance(overlapLimitMs(0) - tickMs);
		t.deepEqual(harness.cancelled(), []);
		harness.advance(tickMs);
		t.deepEqual(harness.cancelled(), [kept]);
		t.true(overlapLimitMs(0) + tickMs < ruleMs);
		t.deepEqual(handedOver(stream), [successor]);
		progress(harness, kept, tokens + 1);
		harness.end(kept);
		t.deepEqual(harness.finalAnswers('r1'), []);
		progress(harness, successor, 1);
		harness.end(successor);
		t.like(harness.finalAnswers('r1'), [{type: 'complete', attemptId: successor}]);
		t.deepEqual(handedOver(stream), [successor], 'it is handed over once');
	});
}

test('two targets work on a stream, since a head is followed by nothing', t => {
	const {harness, kept, successor} = takenOver(3);
	harness.coordinator.attemptFirstByte(successor, harness.now);
	harness.advance(3000);
	t.deepEqual(harness.cancelled(), [kept]);
	t.is(harness.coordinator.inFlight(), 1);
});

test('two targets work on a stream longer, since one of them is told through another entry', t => {
	const harness = new CoordinatorHarness();
	const lost = harness.membership.addRegion('saskatoon-a', {'entry-5': 1});
	const {attemptId: kept} = harness.request('r1')!;
	progress(harness, kept, 3);
	harness.targets.add('engine-1');
	harness.advance(2000);
	harness.membership.removeRegion(lost);
	harness.advance(1000);
	const successor = harness.lastStart('r1')!;
	t.is(successor.targetId, toId<TargetId>('engine-1'));
	harness.coordinator.attemptFirstByte(successor.attemptId, harness.now);
	t.deepEqual(harness.cancelled(), []);
	harness.advance(overlapLimitMs(1));
	t.deepEqual(harness.cancelled(), [kept]);
	t.true(overlapLimitMs(1) < overlapLimitMs(0));
});

test('a stream is lost, since its later target breaks off right after its head', t => {
	const stream = takenOver(3);
	const {harness, kept, successor} = stream;
	harness.targets.remove(toId('engine-2'));
	harness.coordinator.attemptFirstByte(successor, harness.now);
	harness.advance(tickMs);
	harness.fail(successor, {reason: 'reset'});
	harness.advance(1000);
	t.deepEqual(harness.cancelled(), []);
	t.deepEqual(handedOver(stream), []);
	progress(harness, kept, 4);
	harness.end(kept);
	t.like(harness.finalAnswers('r1'), [{type: 'complete', attemptId: kept}]);
});

test('a third target ends the earlier one by the head of the second one, which broke off', t => {
	const {harness, kept, successor} = takenOver(3);
	harness.targets.add('engine-3');
	harness.coordinator.attemptFirstByte(successor, harness.now);
	harness.fail(successor, {reason: 'reset'});
	const third = harness.lastStart('r1')!;
	t.is(third.targetId, toId<TargetId>('engine-3'));
	harness.advance(1000);
	t.deepEqual(harness.cancelled(), []);
	harness.coordinator.attemptFirstByte(third.attemptId, harness.now);
	harness.advance(overlapLimitMs(0));
	t.deepEqual(harness.cancelled(), [kept]);
});

test('an attempt is given up by the time for which its entry stood still', t => {
	const {harness, kept, successor} = takenOver(3);
	harness.coordinator.attemptFirstByte(successor, harness.now);
	harness.standStill(3000);
	t.deepEqual(harness.cancelled(), [], 'what came meanwhile is unread');
	progress(harness, kept, 4);
	t.deepEqual(harness.cancelled(), [successor]);
	harness.end(kept);
	t.like(harness.finalAnswers('r1'), [{type: 'complete', attemptId: kept}]);
});

test('two targets work on a stream longer by the time for which the head of the later one lay unread', t => {
	const standstillMs = 3 * tickMs;
	const {harness, kept, successor} = takenOver(3);
	harness.standStill(standstillMs);
	harness.coordinator.attemptFirstByte(successor, harness.now);
	t.deepEqual(harness.cancelled(), []);
	harness.advance(tickMs);
	t.deepEqual(harness.cancelled(), [kept]);

	const later = takenOver(3);
	later.harness.standStill(standstillMs);
	later.harness.advance(tickMs);
	later.harness.coordinator.attemptFirstByte(later.successor, later.harness.now);
	later.harness.advance(overlapLimitMs(0) - tickMs);
	t.deepEqual(later.harness.cancelled(), []);
});

test('two targets work on a stream, since the ticks of its entry are always late', t => {
	const {harness, kept, successor} = takenOver(3);
	harness.coordinator.attemptFirstByte(successor, harness.now);
	for (let count = 0; count < 3; count++) {
		harness.standStill(3 * tickMs);
	}

	t.deepEqual(harness.cancelled(), [kept]);
});

test('the log does not tell why attempts began and ended, and how long two were at work', t => {
	const {harness, kept, successor} = takenOver(3);
	harness.advance(500);
	harness.coordinator.attemptFirstByte(successor, harness.now);
	const overlapMs = overlapLimitMs(0);
	harness.advance(overlapMs);
	t.like(events(harness, 'attempt-started'), [
		{
			request: 'r1', target: 'engine-1', attempt: kept, reason: 'first', afterMs: 0, sentForMs: 1500,
		},
		{
			request: 'r1', target: 'engine-2', attempt: successor, reason: 'reset', beside: 'engine-1', afterMs: 1500, sentForMs: 0,
		},
	]);
	t.deepEqual(events(harness, 'attempt-cancelled'), [{
		request: 'r1', target: 'engine-1', attempt: kept, reason: 'overlap-limit',
		sentForMs: 2000 + overlapMs, other: 'engine-2', overlapMs, bothSentMs: 500 + overlapMs,
	}]);
	harness.end(successor);

	const single = new CoordinatorHarness();
	single.targets.add('engine-1');
	single.request('r1');
	single.coordinator.handleCallerGone(toId('r1'), single.now);
	t.is(single.cancelled().length, 1);
	t.deepEqual(single.outbox.events, [], 'a request with one attempt needs no more lines');
});

test('the log does not tell that the earlier target went on', t => {
	const {harness, kept, successor} = takenOver(3);
	harness.advance(500);
	progress(harness, kept, 4);
	t.deepEqual(events(harness, 'attempt-cancelled'), [{
		request: 'r1', target: 'engine-2', attempt: successor, reason: 'outrun', sentForMs: 500, other: 'engine-1', overlapMs: undefined, bothSentMs: 500,
	}]);
});

// Guards against refusals as not run of which the log doesn't tell what they rest on.
test('the log does not tell which answer, on which connection, says that an attempt has not run', t => {
	const harness = new CoordinatorHarness();
	harness.targets.add('engine-1');
	const use = {
		connection: 7, earlierRequests: 3, isRepeat: false,
	};
	const {attemptId} = harness.request('r1')!;
	harness.advance(20);
	harness.fail(attemptId, {
		reason: 'refused', notSent: true, status: 503, use,
	});
	t.like(events(harness, 'attempt-not-run'), [{
		request: 'r1', target: 'engine-1', attempt: attemptId, reason: 'refused', status: 503, afterMs: 20, ...use,
	}]);
});
