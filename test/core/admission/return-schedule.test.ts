import test from 'ava';
import {ReturnSchedule} from '../../../src/core/admission/return-schedule.ts';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';

const query = {
	work: 1, workPerMs: 0.06, backlogMs: 400, leftMs: 60_000,
};

test('callers refused in one burst are told to return in a second that has no room for all of them', t => {
	const schedule = new ReturnSchedule(new SeededRandom(1));
	const returns = Array.from({length: 300}, (_, caller) => caller + schedule.delayMs(query, caller as Millis));
	t.true(Math.min(...returns) >= 400);
	for (let from = 0; from < 6000; from += 250) {
		const count = returns.filter(at => at >= from && at < from + 1000).length;
		t.true(count <= 61, `${count} return from ${from} ms on`);
	}

	t.true(Math.max(...returns) < 6000);
});

test('callers without time for their place keep it from others', t => {
	const schedule = new ReturnSchedule(new SeededRandom(1));
	for (let caller = 0; caller < 500; caller++) {
		t.true(schedule.delayMs({...query, leftMs: 900}, 0 as Millis) >= 400);
	}

	t.true(schedule.delayMs(query, 0 as Millis) < 450);
});

test('a clock that jumps back keeps callers away for longer than the largest delay', t => {
	const schedule = new ReturnSchedule(new SeededRandom(1));
	schedule.delayMs(query, 1_000_000 as Millis);
	t.true(schedule.delayMs(query, 0 as Millis) <= 30_000);
});
