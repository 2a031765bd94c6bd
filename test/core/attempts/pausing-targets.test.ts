import test from 'ava';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {OrganisationId} from '../../../src/core/ids/organisation-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {TableHarness} from '../../fixtures/attempts/table-harness.ts';

const pausesMs = [200, 3000, 20_000];

for (const pauseMs of pausesMs) {
	test(`a target that asks for a pause with 503 gets requests all the same, ${pauseMs} ms`, t => {
		const harness = new TableHarness();
		const first = harness.announce('engine-1');
		const second = harness.announce('engine-2');
		harness.requests.request('r0');
		harness.turnAway('r0', pauseMs);
		t.deepEqual(harness.sentTo('r0'), [first, second]);
		for (let turn = 1; harness.requests.now < pauseMs - 100; turn++) {
			harness.requests.request(`r${turn}`);
			t.deepEqual(harness.sentTo(`r${turn}`), [second], `${harness.requests.now} ms`);
			harness.requests.end(harness.requests.lastStart(`r${turn}`)!.attemptId);
			harness.advance(100);
		}

		harness.advance(200);
		harness.requests.request('later');
		t.deepEqual(harness.sentTo('later'), [first]);
	});
}

test('a shorter pause ends a longer one', t => {
	const harness = new TableHarness();
	harness.announce('engine-1');
	const second = harness.announce('engine-2');
	harness.requests.request('r0');
	harness.requests.request('r1');
	harness.turnAway('r0', 5000);
	harness.turnAway('r1', 200);
	harness.advance(1000);
	harness.requests.request('r2');
	t.deepEqual(harness.sentTo('r2'), [second]);
});

test('a pause that an earlier incarnation asked for keeps requests from the one that took its place', t => {
	const harness = new TableHarness();
	const first = harness.announce('engine-1');
	harness.requests.request('r0');
	harness.requests.request('r1');
	harness.turnAway('r0', 20_000);
	harness.announce('engine-1', {incarnation: 2});
	// An answer of the earlier incarnation that arrives late.
	harness.say('r1', {pauseMs: 20_000});
	harness.requests.request('r2');
	t.deepEqual(harness.sentTo('r2'), [first]);
});

test('a request is refused although its only target pauses for a moment', t => {
	const harness = new TableHarness();
	const first = harness.announce('engine-1');
	harness.requests.request('r0');
	harness.turnAway('r0', 1000);
	harness.requests.request('r1');
	t.deepEqual(harness.sentTo('r1'), []);
	t.is(harness.requests.refusal('r1'), undefined);
	harness.advance(1200);
	t.deepEqual(harness.sentTo('r1'), [first]);
});

test('a request waits for targets that pause past its deadline instead of being refused at once', t => {
	const harness = new TableHarness();
	harness.announce('engine-1');
	harness.requests.request('r0');
	harness.turnAway('r0', 8000);
	const delays: number[] = [];
	for (let turn = 1; turn <= 20; turn++) {
		harness.requests.request(`r${turn}`, {deadlineAt: harness.requests.now + 3000 as Millis});
		t.like(harness.requests.refusal(`r${turn}`), {ran: 'no'});
		delays.push(harness.requests.refusal(`r${turn}`)?.retryAfterMs ?? 0);
	}

	t.true(Math.min(...delays) >= 8000 && Math.max(...delays) <= 12_000, `${Math.min(...delays)} to ${Math.max(...delays)} ms`);
	t.true(new Set(delays).size > 10);
});

test('a region whose targets all pause is announced to other regions as one with room', t => {
	const harness = new TableHarness();
	harness.announce('engine-1');
	t.is(harness.table.summaries(harness.requests.now).length, 1);
	harness.requests.request('r0');
	harness.turnAway('r0', 3000);
	t.deepEqual(harness.table.summaries(harness.requests.now), []);
});

for (const count of [16, 20]) {
	test(`${count} requests that wait for a paused target keep those of another model from a free one`, t => {
		const harness = new TableHarness();
		harness.announce('engine-1', {models: ['x']});
		const free = harness.announce('engine-2', {models: ['y']});
		harness.requests.request('r0', {model: 'x'});
		harness.turnAway('r0', 10_000);
		for (let turn = 1; turn <= count; turn++) {
			harness.requests.request(`x${turn}`, {model: 'x'});
		}

		harness.requests.request('y', {model: 'y'});
		t.deepEqual(harness.sentTo('y'), [free]);
	});
}

test('after a pause requests are sent in the order of their arrival instead of by priority, or after one that arrives then', t => {
	const harness = new TableHarness({settings: {targetConcurrency: 1}});
	harness.announce('engine-1');
	harness.requests.request('r0');
	harness.turnAway('r0', 1000);
	harness.requests.request('batch', {priority: 9});
	harness.advance(950);
	harness.requests.request('urgent', {priority: 1});
	// Between two ticks.
	harness.requests.now = 1010 as Millis;
	harness.requests.request('later', {priority: 9});
	for (const id of ['urgent', 'batch', 'later']) {
		harness.requests.end(harness.requests.lastStart(id)!.attemptId);
	}

	const started = harness.requests.actions.flatMap(action => action.type === 'start-attempt' ? [action.requestId as string] : []);
	t.deepEqual(started, ['r0', 'urgent', 'batch', 'later']);
});

test('a request that waits for a pause is not refused at once when the pause is extended past its deadline', t => {
	const harness = new TableHarness();
	harness.announce('engine-1');
	harness.requests.request('r0');
	harness.requests.request('running');
	harness.turnAway('r0', 2000);
	harness.requests.request('r1', {deadlineAt: 4000 as Millis});
	harness.advance(500);
	t.is(harness.requests.refusal('r1'), undefined);
	harness.say('running', {pauseMs: 12_000});
	harness.advance(100);
	const {retryAfterMs = 0, ran} = harness.requests.refusal('r1') ?? {};
	t.is(ran, 'no');
	t.true(retryAfterMs >= 11_900 && retryAfterMs <= 15_000, `${retryAfterMs} ms`);
	t.is(harness.requests.finalAnswers('r1').length, 1);
});

test('requests that wait for a pause exceed the queue limit, or keep more urgent ones out', t => {
	const harness = new TableHarness({settings: {queueLimit: 3}});
	harness.announce('engine-1');
	harness.requests.request('r0');
	harness.turnAway('r0', 10_000);
	for (const id of ['r1', 'r2', 'r3', 'r4']) {
		harness.requests.request(id, {priority: 5});
	}

	const refused = () => ['r1', 'r2', 'r3', 'r4', 'urgent', 'r5'].filter(id => harness.requests.refusal(id) !== undefined);
	t.deepEqual(refused(), ['r4']);
	harness.requests.request('urgent', {priority: 1});
	t.deepEqual(refused(), ['r3', 'r4']);
	t.true(harness.requests.refusal('r3')!.retryAfterMs! >= 10_000);
	harness.requests.coordinator.handleCallerGone(toId('r1'), harness.requests.now);
	harness.requests.request('r5', {priority: 5});
	t.deepEqual(refused(), ['r3', 'r4']);
	harness.requests.request('other', {priority: 5, organisation: toId<OrganisationId>('other')});
	t.is(harness.requests.refusal('other'), undefined);
	t.deepEqual(refused(), ['r3', 'r4', 'r5']);
});

test('an answer whose target lost its lease is cancelled for a target that pauses', t => {
	const harness = new TableHarness();
	const first = harness.announce('engine-1');
	harness.announce('engine-2');
	const {attemptId} = harness.requests.request('r0', {streamed: true, kind: 'completion'})!;
	const {coordinator} = harness.requests;
	coordinator.attemptFirstByte(attemptId, harness.requests.now);
	coordinator.attemptProgress(attemptId, {tokens: 5, bytes: 50}, harness.requests.now);
	harness.requests.request('r1');
	harness.requests.fail(harness.requests.lastStart('r1')!.attemptId, {reason: 'refused', notSent: true});
	harness.turnAway('r1', 5000);
	harness.advance(1500);
	coordinator.targetsLost([first], harness.requests.now);
	t.deepEqual(harness.requests.cancelled(), []);
	harness.requests.end(attemptId);
	t.like(harness.requests.finalAnswers('r0'), [{type: 'complete'}]);
});

test('a request whose first byte is late is cancelled for a target that pauses', t => {
	const harness = new TableHarness();
	harness.announce('engine-1');
	harness.announce('engine-2');
	const {attemptId} = harness.requests.request('r0', {streamed: true, kind: 'completion'})!;
	harness.requests.request('r1');
	harness.requests.fail(harness.requests.lastStart('r1')!.attemptId, {reason: 'refused', notSent: true});
	harness.turnAway('r1', 28_000);
	harness.advance(27_000);
	t.deepEqual(harness.requests.cancelled(), []);
	harness.requests.end(attemptId);
	t.like(harness.requests.finalAnswers('r0'), [{type: 'complete'}]);
});

test('a caller whose attempts are used up gets the delay of a target although others are free', t => {
	const harness = new TableHarness({settings: {maxAttempts: 1}});
	for (const name of ['engine-1', 'engine-2', 'engine-3', 'engine-4']) {
		harness.announce(name);
	}

	const delays = [3000, 3000, 1e12].map((pauseMs, turn) => {
		harness.requests.request(`r${turn}`);
		harness.turnAway(`r${turn}`, pauseMs);
		return harness.requests.refusal(`r${turn}`)!.retryAfterMs!;
	});
	t.true(delays.every(ms => ms >= 500 && ms <= 1500), `${delays.join(', ')} ms`);
	t.is(new Set(delays).size, 3);
});

test('a caller whose retry budget is used up gets the delay of a target although others are free', t => {
	const harness = new TableHarness({settings: {retryBudget: 0}});
	const names = Array.from({length: 30}, (_, index) => `engine-${index}`);
	for (const name of names) {
		harness.announce(name);
	}

	const delays = names.map(id => {
		harness.requests.request(id);
		harness.turnAway(id, 1e12);
		return harness.requests.refusal(id)?.retryAfterMs;
	}).filter(ms => ms !== undefined);
	t.true(delays.length > 0);
	t.true(delays.every(ms => ms >= 500 && ms <= 1500), `${delays.join(', ')} ms`);
});

test('callers whose attempts are used up while all targets pause return before the first pause ends, or all at once', t => {
	const delays = new Set<number>();
	const harness = new TableHarness({settings: {maxAttempts: 1}});
	harness.announce('engine-1');
	const ids = Array.from({length: 10}, (_, index) => `r${index}`);
	for (const id of ids) {
		harness.requests.request(id);
	}

	for (const id of ids) {
		harness.turnAway(id, 8000);
		delays.add(harness.requests.refusal(id)!.retryAfterMs!);
	}

	t.true(Math.min(...delays) >= 8000 && Math.max(...delays) <= 10_000, `${[...delays].join(', ')} ms`);
	t.is(delays.size, ids.length);
});

test('a caller does not get the delay with which another region refused its request', t => {
	const harness = new TableHarness({settings: {maxAttempts: 1}});
	harness.requests.membership.addRegion('winnipeg-a', {'entry-6': 1});
	const {attemptId} = harness.requests.request('r0')!;
	harness.requests.fail(attemptId, {
		reason: 'refused', notSent: true, retryAfterMs: 7000, refusal: {result: 'overloaded', ran: 'no', retryAfterMs: 7000},
	});
	t.like(harness.requests.refusal('r0'), {result: 'overloaded', retryAfterMs: 7000});
});

test('a request waits for the pause of a target that it tried', t => {
	const harness = new TableHarness();
	const first = harness.announce('engine-1');
	harness.requests.request('r0');
	harness.turnAway('r0', 1000);
	t.like(harness.requests.refusal('r0'), {result: 'targetFailed'});
	t.true(harness.requests.refusal('r0')!.retryAfterMs! >= 1000);
	harness.advance(1500);
	t.deepEqual(harness.sentTo('r0'), [first]);
});

test('a request whose deadline passes just after the pause that it waits for is never answered', t => {
	const harness = new TableHarness();
	harness.announce('engine-1');
	harness.requests.request('r0');
	harness.turnAway('r0', 990);
	for (const id of ['r1', 'r2']) {
		harness.requests.request(id, {deadlineAt: 995 as Millis});
	}

	harness.advance(900);
	harness.requests.now = 996 as Millis;
	harness.requests.request('later');
	harness.advance(50);
	for (const id of ['r1', 'r2']) {
		t.like(harness.requests.finalAnswers(id), [{type: 'refuse', refusal: {result: 'deadline', ran: 'no'}}]);
		t.deepEqual(harness.sentTo(id), []);
	}
});
