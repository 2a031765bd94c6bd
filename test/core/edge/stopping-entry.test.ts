import test from 'ava';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const answerMs = 7300;
const acceptMs = 2500;
const budgetMs = 60_000;
const soonMs = 500;

/** An entry whose only target has a few places, all taken by unsafe requests, and at which one more request waits. */
function crowdedHarness() {
	const harness = new EdgeHarness({document: routesDocumentFixture({route: {kind: 'unsafe', timeoutMs: budgetMs, objectiveMs: budgetMs}})});
	harness.feed({targets: [listedTargetFixture('a', {slots: 2})]});
	let placed = 0;
	do {
		placed = harness.starts().length;
		harness.request({budgetMs});
	} while (harness.starts().length > placed);

	return {harness, placed};
}

// Guards against requests that a stopping entry cut off without an answer, though they had not run anywhere.
test('each request that waits or runs at a stopping entry has its final answer before the entry ends', t => {
	const {harness, placed} = crowdedHarness();
	t.true(placed > 0);
	harness.step({type: 'drain', answerMs});
	harness.run(soonMs);
	harness.request({budgetMs});
	t.is(harness.starts().length, placed, 'both wait');
	harness.run(acceptMs - soonMs);
	harness.step({type: 'shut'});
	t.is(harness.refusals().length, 2, 'those that wait can go to another entry at once');
	harness.run(answerMs - acceptMs);
	t.is(harness.core.inFlight, 0);
	t.true(harness.actions.some(({type}) => type === 'drained'));
	const notRun = harness.refusals().filter(({ran}) => ran === 'no');
	t.deepEqual(notRun.map(({reason}) => reason), ['leaving', 'leaving']);
	t.true(notRun.every(({retryAfterMs}) => retryAfterMs! < soonMs), 'another entry may take them at once');
	const maybeRun = harness.refusals().filter(({ran}) => ran === 'maybe');
	t.deepEqual(maybeRun.map(({reason}) => reason), Array.from({length: placed}, () => 'timeout'));
});

// Guards against waiting for a place that can only come free after the entry has ended.
test('at a stopping entry a request gets a place that comes free in time; one that comes too late for any is refused at once', t => {
	const {harness, placed} = crowdedHarness();
	harness.step({type: 'drain', answerMs});
	const {attempt} = harness.starts()[0]!;
	harness.now += soonMs;
	harness.head(attempt, {eventStream: false});
	harness.step({type: 'attempt-end', attempt, truncated: false});
	harness.run(100);
	t.is(harness.starts().length, placed + 1);
	harness.run(answerMs - soonMs - 150);
	harness.request({budgetMs});
	t.deepEqual(harness.refusals().map(({reason, ran}) => ({reason, ran})), [{reason: 'leaving', ran: 'no'}]);
});

// Guards against requests cut off by an entry that stood still until its connections were to be closed: its next tick ends nothing, since answers may be unread.
test('a request that runs at a stopping entry has its final answer at the end, also right after a standstill', t => {
	const {harness, placed} = crowdedHarness();
	harness.step({type: 'drain', answerMs});
	harness.run(acceptMs);
	harness.step({type: 'shut'});
	harness.now += answerMs;
	harness.step({type: 'tick'});
	t.is(harness.core.inFlight, placed);
	harness.step({type: 'end'});
	t.is(harness.core.inFlight, 0);
	t.is(harness.refusals().filter(({reason, ran}) => reason === 'timeout' && ran === 'maybe').length, placed);
});

// Guards against streams that were broken off while they waited for a place, though the entry had time for them.
test('a stream that waits to be resumed when the entry stops accepting requests goes on in a place that comes free', t => {
	const harness = new EdgeHarness({
		document: routesDocumentFixture({
			route: {
				kind: 'stream', resumable: true, timeoutMs: budgetMs, objectiveMs: budgetMs,
			},
		}),
	});
	harness.feed({targets: [listedTargetFixture('p')]});
	harness.request({budgetMs});
	const {attempt} = harness.lastStart();
	harness.head(attempt);
	harness.step({
		type: 'attempt-events', attempt, count: 3, lastId: '3',
	});
	harness.feed({targets: [listedTargetFixture('q', {slots: 1})]});
	let placed = 0;
	do {
		placed = harness.starts().length;
		harness.request({budgetMs});
	} while (harness.starts().length > placed);

	harness.step({type: 'drain', answerMs});
	harness.step({type: 'attempt-failed', attempt, failure: {reason: 'reset', notSent: false}});
	harness.run(acceptMs);
	t.is(harness.starts().length, placed, 'it waits');
	harness.step({type: 'shut'});
	t.deepEqual(harness.refusals().map(({reason, ran}) => ({reason, ran})), [{reason: 'leaving', ran: 'no'}], 'the one that has not begun');
	const other = harness.lastStart().attempt;
	harness.head(other);
	harness.step({type: 'attempt-end', attempt: other, truncated: false});
	harness.run(100);
	t.like(harness.lastStart(), {targetId: 'q', resumeAfter: '3'});
});
