import test from 'ava';
import fc from 'fast-check';
import type {Millis} from '../../../src/core/ids/millis.ts';
import {recordTargetNotice} from '../../../src/core/targets/record-target-notice.ts';
import {TargetSuspension} from '../../../src/core/targets/target-suspension.ts';

const at = (ms: number) => ms as Millis;
const maxPauseMs = 60_000;

test('a shorter pause does not end a longer one, and a longer one replaces a shorter one', t => {
	const suspension = new TargetSuspension();
	t.is(suspension.pause(3000, at(0)), 'begun');
	t.is(suspension.pause(500, at(1000)), undefined);
	t.is(suspension.remainingMs(at(1000)), 2000);
	t.is(suspension.pause(4000, at(2000)), undefined);
	t.is(suspension.remainingMs(at(2000)), 4000);
	t.is(suspension.remainingMs(at(6000)), 0);
	t.is(suspension.pause(100, at(7000)), 'begun');
});

test('a pause that is longer than a target may ask for is ignored', t => {
	const suspension = new TargetSuspension({maxPauseMs});
	t.is(suspension.pause(1e15, at(0)), 'too-long');
	t.is(suspension.remainingMs(at(0)), 0);
	t.is(suspension.pause(maxPauseMs, at(0)), 'begun');
	t.is(suspension.remainingMs(at(0)), maxPauseMs);
});

test('the end of a suspicion does not end a pause, and nothing ends a leave', t => {
	const suspension = new TargetSuspension();
	suspension.suspect(4000, at(0));
	suspension.pause(2000, at(0));
	suspension.clearSuspicion();
	t.is(suspension.remainingMs(at(0)), 2000);
	t.true(suspension.leave());
	t.false(suspension.leave());
	suspension.clearSuspicion();
	t.is(suspension.remainingMs(at(1e9)), Number.POSITIVE_INFINITY);
});

test('a target gets a request before the end of a pause, for any order of pauses, suspicions and reports', t => {
	const step = fc.record({
		afterMs: fc.integer({min: 0, max: 5000}),
		kind: fc.constantFrom('pause' as const, 'suspect' as const, 'clear' as const),
		ms: fc.integer({min: 1, max: 2 * maxPauseMs}),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 30}), steps => {
		const suspension = new TargetSuspension({maxPauseMs});
		let now = 0;
		let pausedUntil = 0;
		for (const {afterMs, kind, ms} of steps) {
			now += afterMs;
			if (kind === 'pause') {
				suspension.pause(ms, at(now));
				pausedUntil = ms > maxPauseMs ? pausedUntil : Math.max(pausedUntil, now + ms);
			} else if (kind === 'suspect') {
				suspension.suspect(ms, at(now));
			} else {
				suspension.clearSuspicion();
			}

			if (suspension.remainingMs(at(now)) < pausedUntil - now) {
				return false;
			}
		}

		return true;
	}), {seed: 38});
	t.pass();
});

test('a target that asks for the same absurd pause, or for none, in each answer is logged each time', t => {
	const lines: string[] = [];
	const outbox = {
		event(name: string) {
			lines.push(name);
		},
	};
	const suspension = new TargetSuspension({maxPauseMs});
	for (const notice of [{pauseMs: 1e15}, {pauseMs: 0}, {unreadableHeaders: ['retry-after']}, {leaving: true}]) {
		for (let turn = 0; turn < 10; turn++) {
			recordTargetNotice(suspension, {leaving: false, ...notice}, {source: {targetId: 'a', incarnation: 1, request: 'r'}, outbox}, at(turn));
		}
	}

	t.deepEqual(lines, ['target-paused', 'target-headers-unreadable', 'target-leaving']);
});
