import test from 'ava';
import {CacheHints} from '../../../src/core/targets/cache-hints.ts';

test('leading blocks count up to the first one that is not cached', t => {
	const hints = new CacheHints();
	hints.used(['a', 'b', 'd']);
	t.is(hints.leading(['a', 'b', 'c', 'd']), 2);
	t.is(hints.leading(['x', 'a']), 0);
});

test('a gap in the cache events clears what was believed; late events do not', t => {
	const hints = new CacheHints();
	hints.events({firstEvent: 0, stored: ['a', 'b'], removed: []});
	hints.events({firstEvent: 2, stored: ['c'], removed: ['b']});
	t.is(hints.leading(['a', 'b']), 1);
	hints.events({firstEvent: 1, stored: [], removed: []});
	t.is(hints.leading(['a']), 1);
	hints.events({firstEvent: 9, stored: ['z'], removed: []});
	t.is(hints.leading(['a']), 0);
	t.is(hints.leading(['z']), 1);
});

test('hints stay within their bound, the longest unused go first', t => {
	const hints = new CacheHints({mostBlocks: 3});
	hints.used(['a', 'b', 'c']);
	hints.used(['a']);
	hints.used(['d']);
	t.is(hints.size, 3);
	t.is(hints.leading(['b']), 0);
	t.is(hints.leading(['a']), 1);
});
