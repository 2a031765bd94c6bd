import test from 'ava';
import {HeldMaximum} from '../../../src/core/edge/held-maximum.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';

test('a larger value counts for the hold time, the last one for ever', t => {
	const maximum = new HeldMaximum(100);
	const largest = (now: number) => maximum.largest(now as Millis);
	t.is(largest(0), undefined);
	for (const [at, value] of [[0, 6], [10, 2], [20, 4], [30, 3]] as const) {
		maximum.record(value, at as Millis);
	}

	t.deepEqual([30, 100, 101, 120, 121, 1000].map(now => largest(now)), [6, 6, 4, 4, 3, 3]);
});
