import test from 'ava';
import {PriorityDistribution} from '../../../src/core/routing/priority-distribution.ts';

function distributionOf(priorities: readonly number[]): PriorityDistribution {
	const distribution = new PriorityDistribution();
	for (let round = 0; round < 500; round++) {
		for (const priority of priorities) {
			distribution.observe(priority);
		}
	}

	return distribution;
}

test('a worse priority waits longer, up to a bound, and the best one hardly waits', t => {
	const distribution = distributionOf([2, 5, 5, 5, 8]);
	const factors = [0, 2, 5, 8, 9].map(priority => distribution.waitFactor(priority));
	t.deepEqual(factors, factors.toSorted((a, b) => a - b));
	t.true(factors[1]! < 0.3);
	t.true(factors[3]! > 4);
	t.true(factors[4]! <= 8);
});

test('with a single priority the wait is the mean wait', t => {
	const factor = distributionOf([5]).waitFactor(5);
	t.true(factor > 0.99 && factor < 1.01);
});
