import test from 'ava';
import {AwakeClock} from '../../../src/core/common/awake-clock.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';

const tickMs = 50;

function clockAfter(steps: readonly number[]): AwakeClock {
	const clock = new AwakeClock();
	for (const at of steps) {
		clock.step(at as Millis);
	}

	return clock;
}

test('time in which the process runs counts in full', t => {
	const start = clockAfter([1000]).now;
	const later = clockAfter(Array.from({length: 21}, (_, tick) => 1000 + (tick * tickMs)));
	t.is(later.now - start, 1000);
	t.is(later.lostMs, 0);
});

test('a standstill of any length counts as a short step', t => {
	const start = clockAfter([1000]).now;
	const [short, long] = [2000, 60_000].map(ms => clockAfter([1000, 1000 + ms]));
	t.is(short!.now - start, long!.now - start);
	t.true(short!.now - start < 400, 'below the shortest timeout of a silent attempt');
	t.is(long!.lostMs - short!.lostMs, 58_000);
});
