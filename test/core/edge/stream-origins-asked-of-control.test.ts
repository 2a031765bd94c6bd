import test from 'ava';
import {controlTiming} from '../../../src/core/control/control-timing.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {StreamOriginHarness} from '../../fixtures/stream-origin-harness.ts';

const {begunAt, control, otherControl, tickMs, v1, v2} = StreamOriginHarness;

test('a stream that began elsewhere waits until a control node names its software version', t => {
	for (const [version, target] of [[v1, 'a'], [v2, 'b']] as const) {
		const harness = new StreamOriginHarness();
		harness.resume();
		t.deepEqual(harness.sent('find-stream').map(({to}) => to), [control, otherControl]);
		t.is(harness.starts().length, 0);
		harness.answer(control, {});
		t.is(harness.starts().length, 0);
		harness.answer(otherControl, {stream: begunAt(version)});
		t.is(harness.lastStart().targetId as string, target);
	}
});

for (const end of ['its deadline', 'the end of the entry'] as const) {
	// Guards against requests that run after their callers were told that they never will.
	test(`a stream that is refused while it waits for a control node runs once that has answered: ${end}`, t => {
		const harness = new StreamOriginHarness();
		harness.resume('began', end === 'its deadline' ? {budgetMs: tickMs} : {});
		if (end === 'its deadline') {
			harness.run(tickMs);
		} else {
			harness.step({type: 'end'});
		}

		t.like(harness.refusals(), [{reason: 'overloaded', ran: 'no'}]);
		harness.answer(control, {stream: begunAt(v1)});
		t.is(harness.starts().length, 0);
		t.is(harness.refusals().length, 1);
	});
}

test('a stream whose software version nobody knows is refused as not run, at once or when control does not answer', t => {
	for (const answered of [true, false]) {
		const harness = new StreamOriginHarness();
		harness.resume();
		if (answered) {
			harness.answer(control, {});
			harness.answer(otherControl, {});
		} else {
			harness.run(controlTiming.streamQueryTimeoutMs + (2 * tickMs));
		}

		t.is(harness.starts().length, 0);
		t.deepEqual(harness.refusals().map(({reason, ran}) => [reason, ran]), [['origin-unknown', 'no']]);
		harness.answer(control, {stream: begunAt(v1)});
		t.is(harness.starts().length, 0);
	}
});

// Guards against streams that went on at another software version through an entry that was out of step while targets of a new version joined.
for (const way of ['called', 'forwarded'] as const) {
	for (const outOfStep of ['cut off', 'standing still'] as const) {
		test(`an entry that control does not answer takes no stream up at the only version that it knows: ${outOfStep}, ${way}`, t => {
			const harness = new StreamOriginHarness();
			for (let waited = 0; waited < controlTiming.streamRetentionMs + 1000; waited += 500) {
				harness.run(500);
				harness.feed({targets: [listedTargetFixture('a', {softwareVersion: v1})]});
			}

			const forwarded = way === 'forwarded' ? {region: toId<Region>('winnipeg'), documentVersion: 1} : undefined;
			harness.resume('began', {forwarded});
			if (outOfStep === 'cut off') {
				harness.run(controlTiming.streamQueryTimeoutMs + (2 * tickMs));
			} else {
				// The process's clock does not count the time for which it stood still; a tick comes before the answers that wait.
				harness.now += controlTiming.streamQueryTimeoutMs + tickMs;
				harness.step({type: 'tick'});
				harness.answer(control, {versions: [v1, v2]});
			}

			t.is(harness.starts().length, 0);
			t.deepEqual(harness.refusals().map(({reason, ran}) => [reason, ran]), [['origin-unknown', 'no']]);
		});
	}
}

test('a version that all control nodes that answer in time take for the only one is taken', t => {
	const harness = new StreamOriginHarness();
	harness.resume();
	harness.answer(control, {soleVersion: begunAt(v2), versions: [v2]});
	harness.run(controlTiming.streamQueryTimeoutMs + (2 * tickMs));
	t.is(harness.lastStart().targetId as string, 'b');
});

// Longer ones outlast the time that the caller gave.
for (const standstillMs of [500, 1000, 2000]) {
	test(`a stream is taken up by an answer that waited unread while the entry stood still for ${standstillMs} ms`, t => {
		for (const waitedMs of [50, 150, 250]) {
			const harness = new StreamOriginHarness();
			harness.resume();
			harness.run(waitedMs);
			harness.now += standstillMs;
			harness.step({type: 'tick'});
			t.deepEqual(harness.refusals(), [], `${waitedMs} ms before`);
			harness.answer(control, {stream: begunAt(v2)});
			t.is(harness.lastStart().targetId as string, 'b');
		}
	});

	test(`a stream that nobody knows is refused in time after a standstill of ${standstillMs} ms`, t => {
		const harness = new StreamOriginHarness();
		harness.resume();
		harness.now += standstillMs;
		harness.step({type: 'tick'});
		harness.run(controlTiming.streamQueryTimeoutMs + tickMs);
		t.deepEqual(harness.refusals().map(({reason, ran}) => [reason, ran]), [['origin-unknown', 'no']]);
	});
}
