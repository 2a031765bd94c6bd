import test from 'ava';
import type {Millis} from '../../../src/core/ids/millis.ts';
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
