import test from 'ava';
import type {SoftwareVersion} from '../../../src/core/ids/software-version.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {regionLoadFixture} from '../../fixtures/region-load-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

type Start = ReturnType<EdgeHarness['lastStart']>;

const budgetMs = 20_000;
/** Longer than the stall timeout of the fixture's route. */
const pauseMs = 2000;
const refusal = {
	status: 503, notRun: true, signed: false, eventStream: false,
};

type Options = {
	/** Where the second attempt may go. */
	readonly other: 'target' | 'region';
	readonly slack?: number;
	readonly attempts?: number;
};

/** An entry with one stream that has passed three events from target `p`, which is silent since, and the second attempt. */
function stalledStream({other, slack, attempts = 3}: Options) {
	const harness = new EdgeHarness({
		slack, ratio: 0,
		document: routesDocumentFixture({
			route: {
				kind: 'stream', resumable: true, timeoutMs: budgetMs, attempts,
			},
		}),
	});
	harness.feed({targets: [listedTargetFixture('p')], regions: []});
	harness.request({budgetMs});
	const first = harness.lastStart();
	harness.head(first.attempt);
	events(harness, first, {count: 3, lastId: '3'});
	harness.feed({
		targets: [listedTargetFixture('p'), ...other === 'target' ? [listedTargetFixture('q')] : []],
		regions: other === 'region' ? [remoteRegion()] : [],
	});
	harness.run(pauseMs);
	return {harness, first, second: harness.lastStart()};
}

/** A region with a target of the software version that began the stream. */
function remoteRegion() {
	const region = regionLoadFixture('winnipeg', '10.3.0.9:7101');
	return {...region, loads: region.loads.map(load => ({...load, softwareVersions: [toId<SoftwareVersion>('v1')]}))};
}

function events(harness: EdgeHarness, {attempt}: Start, {count, lastId}: {count: number; lastId: string}): void {
	harness.step({
		type: 'attempt-events', attempt, count, lastId,
	});
}

function isCancelled({actions}: EdgeHarness, {attempt}: Start): boolean {
	return actions.some(action => action.type === 'cancel' && action.attempt === attempt);
}

/** Ways in which the second attempt comes to nothing. */
const endings: Readonly<Record<string, Options & {readonly end: (harness: EdgeHarness, second: Start) => void}>> = {
	'is full': {
		other: 'target',
		end(harness, {attempt}) {
			harness.head(attempt, refusal);
		},
	},
	'is full, and no further retry fits the budget': {
		other: 'target',
		slack: 2,
		end(harness, {attempt}) {
			harness.head(attempt, refusal);
		},
	},
	'can\'t be reached': {
		other: 'target',
		end(harness, {attempt}) {
			harness.step({type: 'attempt-failed', attempt, failure: {reason: 'connect', notSent: true}});
		},
	},
	'resets the connection': {
		other: 'target',
		end(harness, {attempt}) {
			harness.step({type: 'attempt-failed', attempt, failure: {reason: 'reset', notSent: false}});
		},
	},
	'answers with an error': {
		other: 'target',
		attempts: 2,
		end(harness, {attempt}) {
			harness.head(attempt, {status: 500, eventStream: false});
		},
	},
	'begins and breaks off before its first event': {
		other: 'target',
		end(harness, {attempt}) {
			harness.head(attempt);
			harness.step({type: 'attempt-end', attempt, truncated: true});
		},
	},
	'is silent too': {
		other: 'target',
		end(harness) {
			harness.run(pauseMs);
		},
	},
	'is an entry without a target for it': {
		other: 'region',
		end(harness, {attempt}) {
			harness.head(attempt, {...refusal, refusedBy: 'entry', reachedTarget: false});
		},
	},
	'is an entry whose target is full': {
		other: 'region',
		end(harness, {attempt}) {
			harness.head(attempt, {...refusal, refusedBy: 'entry', reachedTarget: true});
		},
	},
	'is an entry that stops': {
		other: 'region',
		end(harness, {attempt}) {
			harness.step({type: 'attempt-failed', attempt, failure: {reason: 'reset', notSent: false}});
		},
	},
};

for (const [title, {end, ...options}] of Object.entries(endings)) {
	for (const stops of [false, true]) {
		// Guards against streams that lost a silent target before another one had taken them over.
		test(`a stream is complete if its target goes on after a pause and the next one ${title}${stops ? ', at an entry that stops' : ''}`, t => {
			const {harness, first, second} = stalledStream(options);
			t.not(second, first);
			t.is(second.resumeAfter, '3');
			if (stops) {
				harness.step({type: 'drain', answerMs: 7300});
				harness.run(2500);
				harness.step({type: 'shut'});
			}

			end(harness, second);
			harness.run(100);
			events(harness, first, {count: 3, lastId: '6'});
			harness.step({type: 'attempt-end', attempt: first.attempt, truncated: false});
			t.deepEqual(harness.refusals(), []);
			t.like(harness.actions.findLast(({type}) => type === 'complete'), {attempt: first.attempt});
			t.is(harness.core.inFlight, 0);
		});
	}
}

test('the target that brings the next event of a stalled stream goes on alone', t => {
	for (const winner of ['first', 'second'] as const) {
		const {harness, first, second} = stalledStream({other: 'target'});
		harness.head(second.attempt);
		t.false(isCancelled(harness, first));
		t.false(isCancelled(harness, second));
		const [won, lost] = winner === 'first' ? [first, second] : [second, first];
		events(harness, won, {count: 1, lastId: '4'});
		t.true(isCancelled(harness, lost));
		t.false(isCancelled(harness, won));
		events(harness, lost, {count: 1, lastId: '4'});
		harness.step({type: 'attempt-end', attempt: lost.attempt, truncated: false});
		t.is(harness.core.inFlight, 1, 'a late answer of the other one changes nothing');
	}
});

// Guards against streams with several pauses that ran on more targets than their route's attempts.
test('an attempt that was cancelled for another one counts towards the attempts of its route', t => {
	for (const winner of ['first', 'second'] as const) {
		const {harness, first, second} = stalledStream({other: 'target', attempts: 2});
		harness.head(second.attempt);
		harness.feed({targets: ['p', 'q', 'r'].map(name => listedTargetFixture(name)), regions: []});
		const won = winner === 'first' ? first : second;
		events(harness, won, {count: 1, lastId: '4'});
		harness.run(pauseMs);
		t.is(harness.starts().length, 2);
		t.false(isCancelled(harness, won));
	}
});

test('a stalled call goes on at its target if the next one is full, and ends there if the next one answers', t => {
	for (const isFull of [true, false]) {
		const harness = new EdgeHarness();
		harness.feed({targets: [listedTargetFixture('p'), listedTargetFixture('q')]});
		harness.request({budgetMs});
		const first = harness.lastStart();
		harness.run(1000);
		const second = harness.lastStart();
		t.not(second, first);
		harness.head(second.attempt, isFull ? refusal : {eventStream: false});
		t.false(isCancelled(harness, first), 'the answer of the next one may break off');
		if (isFull) {
			harness.head(first.attempt, {eventStream: false});
		}

		const {attempt} = isFull ? first : second;
		harness.step({type: 'attempt-end', attempt, truncated: false});
		t.is(isCancelled(harness, first), !isFull);
		t.like(harness.actions.findLast(({type}) => type === 'complete'), {attempt});
		t.deepEqual(harness.refusals(), []);
	}
});

// Guards against calls whose silent target was given up for an answer that broke off.
test('a stalled call goes on at its target if the answer of the next one breaks off after its head', t => {
	for (const status of [200, 404]) {
		const harness = new EdgeHarness();
		harness.feed({targets: [listedTargetFixture('p'), listedTargetFixture('q')]});
		harness.request({budgetMs});
		const first = harness.lastStart();
		harness.run(1000);
		const second = harness.lastStart();
		harness.head(second.attempt, {status, eventStream: false});
		harness.step({type: 'attempt-failed', attempt: second.attempt, failure: {reason: 'reset', notSent: false}});
		harness.head(first.attempt, {eventStream: false});
		harness.step({type: 'attempt-end', attempt: first.attempt, truncated: false});
		t.like(harness.actions.findLast(({type}) => type === 'complete'), {attempt: first.attempt});
		t.deepEqual(harness.refusals(), []);
	}
});

test('all attempts of a stalled request end with its caller and at its deadline', t => {
	for (const ending of ['caller', 'deadline']) {
		const {harness, first, second} = stalledStream({other: 'target'});
		if (ending === 'caller') {
			harness.step({type: 'caller-gone', requestId: first.requestId});
		} else {
			harness.run(budgetMs);
		}

		t.true(isCancelled(harness, first));
		t.true(isCancelled(harness, second));
		t.is(harness.core.inFlight, 0);
	}
});

// Guards against a slow caller that is taken for a silent target, which costs a second run and a retry.
test('a stream whose caller takes no more of it stays at its target, and may be sent elsewhere once it is read again', t => {
	const harness = new EdgeHarness({document: routesDocumentFixture({route: {kind: 'stream', resumable: true, timeoutMs: budgetMs}})});
	harness.feed({targets: [listedTargetFixture('p'), listedTargetFixture('q')]});
	harness.request({budgetMs});
	const first = harness.lastStart();
	const {attempt} = first;
	harness.head(attempt);
	events(harness, first, {count: 3, lastId: '3'});
	harness.step({type: 'attempt-held', attempt, held: true});
	harness.run(3 * pauseMs);
	t.is(harness.starts().length, 1);
	harness.step({type: 'attempt-held', attempt, held: false});
	harness.run(pauseMs / 2);
	t.is(harness.starts().length, 1, 'its target may go on now');
	harness.run(pauseMs);
	t.is(harness.starts().length, 2);
});

// Guards against a retry budget that is spent by forwards that other entries refuse before any target gets them.
test('a retry that has reached no target leaves its charge to the next one', t => {
	for (const way of ['refused by another entry', 'not sent']) {
		const {harness, first, second} = stalledStream({other: 'region', slack: 2});
		if (way === 'not sent') {
			harness.step({type: 'attempt-failed', attempt: second.attempt, failure: {reason: 'connect', notSent: true}});
		} else {
			harness.head(second.attempt, {...refusal, refusedBy: 'entry', reachedTarget: false});
		}

		harness.feed({targets: [listedTargetFixture('p'), listedTargetFixture('q')], regions: []});
		harness.run(100);
		t.like(harness.lastStart(), {targetId: 'q', resumeAfter: '3'});
		const charged = harness.actions.filter(action => action.type === 'event' && action.event === 'retry-charged');
		t.is(charged.length, 1);
		t.false(isCancelled(harness, first));
	}
});
