import test from 'ava';
import type {EdgeAction} from '../../../src/core/edge/edge-action.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import type {Zone} from '../../../src/core/ids/zone.ts';
import type {ServiceName} from '../../../src/core/ids/service-name.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

type Options = ConstructorParameters<typeof EdgeHarness>[0];

/** An entry whose region has targets with the given names. */
function harnessWith(names: readonly string[], options: Options = {}): EdgeHarness {
	const harness = new EdgeHarness(options);
	harness.feed({targets: names.map(name => listedTargetFixture(name))});
	return harness;
}

const unsafe = {document: routesDocumentFixture({route: {kind: 'unsafe', attempts: 1}})};
const stream = {document: routesDocumentFixture({route: {kind: 'stream', resumable: true}, engine: true})};
const types = (actions: readonly EdgeAction[]) => actions.map(({type}) => type);
const remoteRegion = {
	region: toId<Region>('winnipeg'),
	entries: 1,
	hasPlacers: false,
	relayAddresses: ['10.3.0.9:7101'],
	loads: [{
		service: toId<ServiceName>('desk'), targets: 2, inFlight: 0, waiting: 0, startMs: 0, extraMs: 0,
	}],
};

test('an entry without a routes document refuses requests with a retry delay, and never as `no-route`', t => {
	const harness = new EdgeHarness();
	harness.request();
	harness.run(1000);
	const [refusal] = harness.refusals();
	t.is(refusal!.reason, 'not-configured');
	t.is(refusal!.ran, 'no');
	t.true(refusal!.retryAfterMs! > 0);
});

test('a request that matches no route is refused as `no-route`', t => {
	const harness = harnessWith(['a']);
	harness.request({path: '/other/1'});
	t.is(harness.refusals()[0]!.reason, 'no-route');
});

test('an unsafe request that may have run is never retried', t => {
	const harness = harnessWith(['a', 'b'], unsafe);
	harness.request();
	harness.step({type: 'attempt-failed', attempt: harness.lastStart().attempt, failure: {reason: 'reset', notSent: false}});
	t.is(harness.starts().length, 1);
	t.deepEqual(harness.refusals().map(({reason, ran}) => [reason, ran]), [['target-failed', 'maybe']]);
});

test('an unsafe request that its target did not run is sent to another target', t => {
	const harness = harnessWith(['a', 'b'], unsafe);
	harness.request();
	const first = harness.lastStart();
	harness.head(first.attempt, {status: 503, notRun: true, signed: false});
	t.is(harness.starts().length, 2);
	t.not(harness.lastStart().targetId, first.targetId);
});

test('an unsafe request whose target could not be reached is sent to another one without a charge to the retry budget', t => {
	const harness = harnessWith(['a', 'b'], {...unsafe, slack: 0, ratio: 0});
	harness.request();
	harness.step({type: 'attempt-failed', attempt: harness.lastStart().attempt, failure: {reason: 'connect', notSent: true}});
	t.is(harness.starts().length, 2);
});

test('a safe call is retried on as many targets as the route allows', t => {
	const harness = harnessWith(['a', 'b', 'c']);
	harness.request();
	harness.head(harness.lastStart().attempt, {status: 500});
	t.is(harness.starts().length, 2);
	harness.head(harness.lastStart().attempt, {status: 500});
	t.is(harness.starts().length, 2);
});

test('a retry has to fit the retry budget', t => {
	const harness = harnessWith(['a', 'b'], {slack: 0, ratio: 0});
	harness.request();
	harness.step({type: 'attempt-failed', attempt: harness.lastStart().attempt, failure: {reason: 'reset', notSent: false}});
	t.is(harness.starts().length, 1);
	t.is(harness.refusals()[0]!.ran, 'maybe');
});

test('a request whose first target could not be reached adds to the retry budget once', t => {
	const harness = harnessWith(['a', 'b', 'c'], {slack: 0, ratio: 1});
	harness.request();
	harness.step({type: 'attempt-failed', attempt: harness.lastStart().attempt, failure: {reason: 'connect', notSent: true}});
	harness.step({type: 'attempt-failed', attempt: harness.lastStart().attempt, failure: {reason: 'reset', notSent: false}});
	t.is(harness.starts().length, 2);
});

test('a request that a placer forwards to another region adds to the retry budget only where its caller sent it', t => {
	const harness = new EdgeHarness({slack: 0});
	harness.feed({regions: [remoteRegion]});
	harness.request({forwarded: {region: toId('regina'), documentVersion: 1}});
	harness.head(harness.lastStart().attempt);
	harness.step({type: 'attempt-failed', attempt: harness.lastStart().attempt, failure: {reason: 'reset', notSent: false}});
	harness.feed({targets: [listedTargetFixture('a')], regions: []});
	harness.request();
	harness.step({type: 'attempt-failed', attempt: harness.lastStart().attempt, failure: {reason: 'reset', notSent: false}});
	const refused = harness.actions.find(action => action.type === 'event' && action.event === 'retry-refused');
	t.is(refused?.type === 'event' && refused.fields.requests, 1);
});

test('a stalled attempt whose retry does not fit the budget is logged once, with what the budget was decided on', t => {
	const harness = harnessWith(['a', 'b'], {slack: 0, ratio: 0});
	harness.request();
	harness.run(2400);
	const events = harness.actions.filter(action => action.type === 'event' && action.event === 'retry-refused');
	t.deepEqual(events.map(action => action.type === 'event' && action.fields), [{
		request: 'key-1', service: 'desk', requests: 1, retries: 0, allowed: 0, entries: 1,
	}]);
});

test('a forwarded request runs on one target only: the entry that forwarded it keeps the rest of the attempts', t => {
	const harness = harnessWith(['a', 'b']);
	harness.request({forwarded: {region: toId('winnipeg'), documentVersion: 1}});
	harness.step({type: 'attempt-failed', attempt: harness.lastStart().attempt, failure: {reason: 'reset', notSent: false}});
	t.is(harness.starts().length, 1);
	t.is(harness.refusals()[0]!.reason, 'target-failed');
});

test('a request forwarded under a newer routes document is refused as not run', t => {
	const harness = harnessWith(['a']);
	harness.request({forwarded: {region: toId('winnipeg'), documentVersion: 2}});
	t.deepEqual(harness.refusals().map(({reason, ran}) => [reason, ran]), [['outdated', 'no']]);
});

test('a request forwarded under an older routes document does not run at a service to which only this one leads', t => {
	const moved = toId<ServiceName>('press');
	const document = routesDocumentFixture({version: 2, route: {split: [{service: moved, weight: 1}]}});
	const harness = new EdgeHarness({document});
	harness.feed({targets: [listedTargetFixture('a'), listedTargetFixture('b', {service: moved})]});
	harness.request({forwarded: {region: toId('winnipeg'), documentVersion: 1, service: toId<ServiceName>('desk')}});
	t.deepEqual(harness.starts(), []);
	t.deepEqual(harness.refusals().map(({reason, ran}) => [reason, ran]), [['outdated', 'no']]);
});

test('a request forwarded under an older routes document runs at the service that was chosen for it while its route leads there', t => {
	const split = ['press', 'desk'].map(name => ({service: toId<ServiceName>(name), weight: name === 'press' ? 1000 : 1}));
	const harness = new EdgeHarness({document: routesDocumentFixture({version: 2, route: {split}})});
	harness.feed({targets: [listedTargetFixture('a'), listedTargetFixture('b', {service: toId<ServiceName>('press')})]});
	harness.request({forwarded: {region: toId('winnipeg'), documentVersion: 1, service: toId<ServiceName>('desk')}});
	t.is(harness.lastStart().targetId, toId<TargetId>('a'));
});

test('a forwarded request keeps the time limit of the entry that forwarded it, whatever the timeout of its route here', t => {
	for (const timeoutMs of [1000, 3000]) {
		const harness = harnessWith(['a'], {document: routesDocumentFixture({version: 2, route: {timeoutMs}})});
		harness.request({budgetMs: 1400, forwarded: {region: toId('winnipeg'), documentVersion: 1, service: toId<ServiceName>('desk')}});
		t.is(harness.lastStart().deadlineMs, 1400);
	}
});

test('a request that a remote region forwarded is never forwarded again', t => {
	const harness = new EdgeHarness();
	harness.feed({regions: [remoteRegion]});
	harness.request({forwarded: {region: toId('saskatoon'), documentVersion: 1}});
	t.is(harness.starts().length, 0);
	t.is(harness.refusals()[0]!.ran, 'no');
});

test('requests of a route with home regions go only to those regions', t => {
	const harness = new EdgeHarness({document: routesDocumentFixture({route: {homes: [toId('saskatoon')]}})});
	harness.feed({targets: [listedTargetFixture('a')], regions: [remoteRegion]});
	harness.request();
	t.is(harness.starts().length, 0);
	harness.feed({targets: [listedTargetFixture('a')], regions: [{...remoteRegion, region: toId('saskatoon')}]});
	harness.request();
	t.is(harness.lastStart().address, '10.3.0.9:7101');
});

test('a broken stream is resumed at another engine after the last event', t => {
	const harness = harnessWith(['a', 'b'], stream);
	harness.request({prompt: {parts: [], promptTokens: 2000, outputTokens: 80}});
	const first = harness.lastStart();
	t.deepEqual(types(harness.head(first.attempt)).filter(type => type === 'pass'), ['pass']);
	harness.step({
		type: 'attempt-events', attempt: first.attempt, count: 3, lastId: '3',
	});
	harness.step({type: 'attempt-failed', attempt: first.attempt, failure: {reason: 'truncated', notSent: false}});
	const second = harness.lastStart();
	t.not(second.targetId, first.targetId);
	t.is(second.resumeAfter, '3');
});

test('a stream that ends with its connection before its first event is sent to another engine', t => {
	const harness = harnessWith(['a', 'b'], stream);
	harness.request({prompt: {parts: [], promptTokens: 2000, outputTokens: 80}});
	const first = harness.lastStart();
	harness.head(first.attempt, {unframed: true});
	t.false(types(harness.step({type: 'attempt-end', attempt: first.attempt, truncated: false})).includes('complete'));
	t.not(harness.lastStart().targetId, first.targetId);
});

test('an answer on a stream route that is no stream of events is passed on whole', t => {
	const harness = harnessWith(['a'], stream);
	harness.request({prompt: {parts: [], promptTokens: 2000, outputTokens: 80}});
	const {attempt} = harness.lastStart();
	t.false(types(harness.head(attempt, {unframed: true, eventStream: false})).includes('pass'));
	t.true(types(harness.step({type: 'attempt-end', attempt, truncated: false})).includes('complete'));
});

test('a resumable stream on a stalled engine is moved to another one', t => {
	const harness = harnessWith(['a', 'b'], stream);
	harness.request({budgetMs: 12_000, prompt: {parts: [], promptTokens: 2000, outputTokens: 80}});
	const first = harness.lastStart();
	harness.run(2900);
	t.is(harness.starts().length, 2);
	const isCancelled = () => harness.actions.some(action => action.type === 'cancel' && action.attempt === first.attempt);
	t.false(isCancelled(), 'the other one may refuse it');
	harness.head(harness.lastStart().attempt);
	t.true(isCancelled());
});

test('a request that has no answer at its route\'s timeout is refused then', t => {
	const harness = harnessWith(['a'], unsafe);
	harness.request({budgetMs: 10_000});
	harness.run(2900);
	t.is(harness.refusals().length, 0);
	harness.run(200);
	t.deepEqual(harness.refusals().map(({reason, ran}) => [reason, ran]), [['timeout', 'maybe']]);
});

test('the attempt of a caller that disconnects is cancelled at once', t => {
	const harness = harnessWith(['a']);
	harness.request();
	const {attempt} = harness.lastStart();
	t.true(harness.step({type: 'caller-gone', requestId: toId('r1')}).some(action => action.type === 'cancel' && action.attempt === attempt));
	t.is(harness.core.inFlight, 0);
});

test('a cold, leaving, lost or evacuated target gets no requests', t => {
	const harness = new EdgeHarness();
	harness.feed({
		targets: [
			listedTargetFixture('cold', {coldForMs: 3000}),
			listedTargetFixture('unknown', {coldForMs: 'unknown'}),
			listedTargetFixture('leaving', {state: 'leaving'}),
			listedTargetFixture('lost', {state: 'lost'}),
			listedTargetFixture('evacuated', {zone: toId<Zone>('regina-b')}),
		], state: {document: {version: 1, text: ''}, evacuated: [toId<Zone>('regina-b')]},
	});
	harness.request();
	t.is(harness.starts().length, 0);
});

test('a target that was listed as leaving gets no requests when another control node still lists it as serving', t => {
	const harness = harnessWith(['a']);
	harness.feed({targets: [listedTargetFixture('a', {state: 'leaving', sequence: 5})]});
	harness.feed({targets: [listedTargetFixture('a', {sequence: 6})]});
	harness.request();
	t.is(harness.starts().length, 0);
	harness.feed({targets: [listedTargetFixture('a', {born: 2000})]});
	harness.request();
	t.is(harness.starts().length, 1);
});

test('an older routes document never replaces a newer one, whichever control node sends it', t => {
	const harness = harnessWith(['a']);
	harness.install(routesDocumentFixture({version: 5}), 9);
	harness.install(routesDocumentFixture({version: 4}), 8);
	t.is(harness.core.documentVersion, 5);
});

test('a leaving entry finishes requests accepted before `shut`, and reports that it is drained only then', t => {
	const harness = harnessWith(['a']);
	harness.step({type: 'drain', answerMs: 7000});
	harness.request();
	const {attempt} = harness.lastStart();
	harness.step({type: 'shut'});
	t.false(harness.actions.some(({type}) => type === 'drained'));
	harness.request();
	t.is(harness.refusals()[0]!.reason, 'leaving');
	harness.head(attempt);
	t.true(types(harness.step({type: 'attempt-end', attempt, truncated: false})).includes('drained'));
});

test('the deadline of a retry is shorter by the time already spent', t => {
	const harness = harnessWith(['a', 'b']);
	harness.request();
	t.is(harness.lastStart().deadlineMs, 2500);
	harness.now += 400;
	harness.step({type: 'attempt-failed', attempt: harness.lastStart().attempt, failure: {reason: 'reset', notSent: false}});
	t.is(harness.lastStart().deadlineMs, 2100);
});

test('a request that no target has run is never refused as failed', t => {
	const harness = harnessWith(['a'], {...unsafe, slack: 0, ratio: 0});
	harness.request();
	harness.head(harness.lastStart().attempt, {status: 503, notRun: true, signed: false});
	t.deepEqual(harness.refusals().map(({reason, ran}) => [reason, ran]), [['overloaded', 'no']]);
});

test('a retry that has to wait is charged to the budget once, however long it waits', t => {
	const harness = harnessWith(['a', 'b'], {slack: 4, ratio: 0});
	for (let count = 0; count < 16; count++) {
		harness.request();
	}

	// Both targets are full, except for the slot freed by the failed attempt, at a target that must not get the request again.
	harness.step({type: 'attempt-failed', attempt: harness.starts()[0]!.attempt, failure: {reason: 'foreign-answer', notSent: false}});
	harness.run(300);
	const second = harness.starts().find(({targetId}) => targetId !== harness.starts()[0]!.targetId);
	harness.head(second!.attempt);
	harness.step({type: 'attempt-end', attempt: second!.attempt, truncated: false});
	t.is(harness.starts().filter(({requestId}) => requestId === 'r1').length, 2);
});

test('waiting requests that can no longer be served are refused before their deadline', t => {
	const harness = harnessWith(['a'], {document: routesDocumentFixture({route: {kind: 'unsafe', attempts: 1}})});
	for (let count = 0; count < 40; count++) {
		harness.request({budgetMs: 300});
	}

	harness.run(280);
	t.true(harness.refusals().some(({ran}) => ran === 'no'));
});

test('unsafe requests never reuse an idle connection, and no request does for a while after one was reset', t => {
	const unsafeHarness = harnessWith(['a'], unsafe);
	unsafeHarness.request();
	t.true(unsafeHarness.lastStart().fresh);
	const harness = harnessWith(['a', 'b']);
	harness.request();
	t.false(harness.lastStart().fresh);
	harness.step({type: 'attempt-failed', attempt: harness.lastStart().attempt, failure: {reason: 'reset', notSent: false}});
	t.true(harness.lastStart().fresh);
	harness.run(11_000);
	harness.feed({targets: ['a', 'b'].map(name => listedTargetFixture(name, {sequence: 2}))});
	harness.request();
	t.false(harness.lastStart().fresh);
});
