import test from 'ava';
import {CachedBlockEstimate} from '../../../src/core/targets/cached-block-estimate.ts';

test('counts leading blocks up to the first one that is not cached', t => {
	const hints = new CachedBlockEstimate();
	hints.recordUse(['a', 'b', 'd']);
	t.is(hints.countLeading(['a', 'b', 'c', 'd']), 2);
	t.is(hints.countLeading(['x', 'a']), 0);
});

test('a gap in the cache events clears all blocks; late events do not', t => {
	const hints = new CachedBlockEstimate();
	hints.applyEvents({firstEvent: 0, stored: ['a', 'b'], removed: []});
	hints.applyEvents({firstEvent: 2, stored: ['c'], removed: ['b']});
	t.is(hints.countLeading(['a', 'b']), 1);
	hints.applyEvents({firstEvent: 1, stored: [], removed: []});
	t.is(hints.countLeading(['a']), 1);
	hints.applyEvents({firstEvent: 9, stored: ['z'], removed: []});
	t.is(hints.countLeading(['a']), 0);
	t.is(hints.countLeading(['z']), 1);
});

test('the number of blocks is bounded, least recently used ones are evicted first', t => {
	const hints = new CachedBlockEstimate({maxBlocks: 3});
	hints.recordUse(['a', 'b', 'c']);
	hints.recordUse(['a']);
	hints.recordUse(['d']);
	t.is(hints.size, 3);
	t.is(hints.countLeading(['b']), 0);
	t.is(hints.countLeading(['a']), 1);
});
