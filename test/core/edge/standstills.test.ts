import test from 'ava';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const budgetMs = 20_000;
const eventEveryMs = 50;
const stallMs = 3000;

/** An entry with streams that get an event every 50 ms, each from one of two targets. */
function busyEntry(streams: number) {
	const harness = new EdgeHarness({
		document: routesDocumentFixture({
			route: {
				kind: 'stream', resumable: true, timeoutMs: budgetMs, gapMs: 100,
			},
		}),
	});
	harness.feed({targets: ['p', 'q'].map(name => listedTargetFixture(name, {slots: 64}))});
	for (let number = 0; number < streams; number++) {
		harness.request({budgetMs});
		harness.head(harness.lastStart().attempt);
	}

	const starts = harness.starts();
	let lastId = 0;
	const deliver = () => {
		lastId += 1;
		for (const {attempt} of starts) {
			harness.step({
				type: 'attempt-events', attempt, count: 1, lastId: String(lastId),
			});
		}
	};

	for (let round = 0; round < 10; round++) {
		deliver();
		harness.run(eventEveryMs);
	}

	return {harness, starts, deliver};
}

for (const standstillMs of [250, 500, 1000, 2000, 8000]) {
	// Guards against streams that were all given up together, since the tick after a standstill runs before their events are read.
	test(`no stream looks silent after a standstill of the entry of ${standstillMs} ms`, t => {
		const {harness, starts, deliver} = busyEntry(8);
		harness.now += standstillMs;
		harness.step({type: 'tick'});
		deliver();
		harness.run(eventEveryMs);
		t.is(harness.starts().length, starts.length);
		t.deepEqual(harness.actions.filter(action => action.type === 'event' && action.event.startsWith('retry-')), []);
	});
}

test('streams whose targets are silent are sent elsewhere in time, also right after a standstill', t => {
	const {harness, starts} = busyEntry(4);
	harness.now += 2000;
	harness.step({type: 'tick'});
	harness.run(stallMs);
	t.true(harness.starts().length > starts.length);
});

test('an answer that waits unread as the entry wakes up past the deadline reaches its caller', t => {
	const harness = new EdgeHarness();
	harness.feed({targets: [listedTargetFixture('p')]});
	harness.request();
	const {attempt} = harness.lastStart();
	harness.now += 4000;
	harness.step({type: 'tick'});
	harness.head(attempt, {eventStream: false});
	harness.step({type: 'attempt-end', attempt, truncated: false});
	t.deepEqual(harness.refusals(), []);
	t.true(harness.actions.some(({type}) => type === 'complete'));
});

test('a request without an answer by its deadline is refused right after a standstill', t => {
	const harness = new EdgeHarness();
	harness.feed({targets: [listedTargetFixture('p')]});
	harness.request();
	harness.now += 4000;
	harness.step({type: 'tick'});
	harness.run(eventEveryMs);
	t.like(harness.refusals(), [{reason: 'timeout'}]);
});
