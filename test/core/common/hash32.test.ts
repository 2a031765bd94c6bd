import test from 'ava';
import {hash32} from '../../../src/core/common/hash32.ts';

test('spreads keys that differ in a few digits over all buckets', t => {
	const buckets = new Set<number>();
	for (let index = 0; index < 256; index++) {
		buckets.add(hash32(`engine-${index}`) % 16);
	}

	t.is(buckets.size, 16);
});
