import test from 'ava';
import {ActionQueue} from '../../../src/core/action-queue.ts';
import {ContainmentTrials} from '../../../src/core/edge/containment-trials.ts';
import type {EdgeAction} from '../../../src/core/edge/edge-action.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {RequestId} from '../../../src/core/ids/request-id.ts';
import type {RequestTrait} from '../../../src/core/ids/request-trait.ts';
import {toId} from '../../../src/core/ids/to-id.ts';

const trait = toId<RequestTrait>('part');
const firstTrialMs = 60_000;
/** Time after which an entry waits no more for the answer to its query, in milliseconds. */
const lateMs = 1500;
const tickMs = 50;

/** An entry to which a trait is contained, at the time of its first trial; `ask` returns the decisions on a request. */
function containedEntry() {
	const queue = new ActionQueue<EdgeAction>(toId('entry'));
	const trials = new ContainmentTrials({queue, primary: () => toId<NodeId>('control')});
	let now = 0 as Millis;
	const update = (granted: number) => {
		trials.update([{trait, crashes: ['a', 'b', 'c'].map(id => toId(id)), trials: granted}], now);
	};

	update(0);
	now = firstTrialMs as Millis;
	return {
		trials,
		update,
		asked: () => queue.take().filter(action => action.type === 'send').length,
		isDue: () => trials.isDue(trait, now),
		ask(name: string) {
			const decisions: boolean[] = [];
			trials.request(toId<RequestId>(name), trait, granted => decisions.push(granted), now);
			return decisions;
		},
		answer(name: string, granted: boolean) {
			trials.handleAnswer({type: 'trial-answer', requestId: toId(name), granted}, now);
		},
		advance(ms: number) {
			for (const end = now + ms; now < end;) {
				now = now + tickMs as Millis;
				trials.tick(now);
			}
		},
		/** Stands still; the tick that follows comes before any answer. */
		standStill(ms: number) {
			now = now + ms as Millis;
			trials.tick(now);
		},
	};
}

test('a trial whose answer comes after its request went on without it is left to the next request', t => {
	const {ask, answer, advance, update, isDue, asked} = containedEntry();
	const first = ask('r1');
	advance(lateMs);
	t.deepEqual(first, [false]);
	answer('r1', true);
	t.false(isDue(), 'the log has not been heard to have granted it');
	update(1);
	t.is(asked(), 1);
	t.true(isDue());
	t.deepEqual(ask('r2'), [true]);
	t.is(asked(), 0, 'no other trial is asked for');
	t.false(isDue(), 'it is used once');
});

test('a trial whose caller leaves before the answer, or before the request is sent, is left to the next request', t => {
	const {trials, ask, answer, update, isDue} = containedEntry();
	ask('r1');
	trials.end(toId('r1'), false);
	answer('r1', true);
	update(1);
	t.true(isDue());
	t.deepEqual(ask('r2'), [true]);
	t.false(isDue());
	trials.end(toId('r2'), true);
	t.true(isDue());
	t.deepEqual(ask('r3'), [true]);
	trials.end(toId('r3'), false);
	t.false(isDue(), 'it was used');
});

test('an unused trial ends with the next one of another entry, and with the containment', t => {
	const {trials, ask, answer, advance, update, isDue} = containedEntry();
	const ends = [
		() => {
			update(2);
		},
		() => {
			trials.update([], 0 as Millis);
		},
	];
	for (const end of ends) {
		update(0);
		advance(firstTrialMs);
		ask('r1');
		trials.end(toId('r1'), false);
		answer('r1', true);
		update(1);
		t.true(isDue());
		end();
		t.false(isDue());
	}
});

test('a trial that is not granted, or never answered, is not used', t => {
	const {ask, answer, advance, update, isDue} = containedEntry();
	const refused = ask('r1');
	answer('r1', false);
	t.deepEqual(refused, [false]);
	advance(firstTrialMs);
	ask('r2');
	advance(firstTrialMs / 2);
	answer('r2', true);
	update(1);
	t.false(isDue());
});

for (const standstillMs of [1000, 2000, 20_000]) {
	test(`a request runs as a trial by an answer that waited unread while its entry stood still for ${standstillMs} ms`, t => {
		for (const waitedMs of [50, 500, 950]) {
			const {ask, answer, advance, standStill} = containedEntry();
			advance(tickMs);
			const decisions = ask('r1');
			advance(waitedMs);
			standStill(standstillMs);
			t.deepEqual(decisions, [], `${waitedMs} ms before`);
			answer('r1', true);
			t.deepEqual(decisions, [true], `${waitedMs} ms before`);
		}
	});

	test(`a request whose trial nobody answers goes on without it in time after a standstill of ${standstillMs} ms`, t => {
		const {ask, advance, standStill} = containedEntry();
		advance(tickMs);
		const decisions = ask('r1');
		advance(500);
		standStill(standstillMs);
		advance(500);
		t.deepEqual(decisions, [false]);
	});
}
