import test from 'ava';
import {PrefixCacheEstimate} from '../../../src/core/edge/prefix-cache-estimate.ts';
import {StateBudget} from '../../../src/core/memory/state-budget.ts';
import {promptPart} from '../../fixtures/prompt-part.ts';

const maxBytes = 100_000;
const capacity = 1_000_000;

function promptOf(...parts: ReadonlyArray<ReturnType<typeof promptPart>>) {
	return {parts, promptTokens: parts.reduce((sum, {tokens}) => sum + tokens, 0), outputTokens: 8};
}

for (const tokens of [0, 1]) {
	// Guards against estimates without a bound in bytes.
	test(`parts of ${tokens} tokens are forgotten at the bound of their memory, the oldest first`, t => {
		const budget = new StateBudget(maxBytes);
		const estimate = new PrefixCacheEstimate(budget);
		for (let index = 0; index < 5000; index++) {
			estimate.recordUse(promptOf(promptPart(`part-${index}`, tokens), promptPart('common', 700)), capacity);
		}

		t.true(budget.bytes <= maxBytes);
		t.is(estimate.cachedTokens(promptOf(promptPart('common', 700))), 700);
		t.is(estimate.cachedTokens(promptOf(promptPart('part-4999', tokens))), tokens);
		t.is(estimate.cachedTokens(promptOf(promptPart('part-0', tokens), promptPart('common', 700))), 0);
	});
}

test('parts that were forgotten for their memory count no longer towards the capacity of the engine', t => {
	const estimate = new PrefixCacheEstimate(new StateBudget(maxBytes));
	for (let index = 0; index < 5000; index++) {
		estimate.recordUse(promptOf(promptPart(`part-${index}`, 1)), 1000);
	}

	estimate.recordUse(promptOf(promptPart('a', 400), promptPart('b', 400)), 1000);
	t.is(estimate.cachedTokens(promptOf(promptPart('a', 400), promptPart('b', 400))), 800);
});
