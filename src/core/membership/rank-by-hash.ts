import {hash32} from '../common/hash32.ts';

/** Orders items by a hash of their keys: every node that knows the same items gets the same order. */
export function rankByHash<Item>(items: readonly Item[], key: (item: Item) => string): Item[] {
	return items
		.map(item => ({item, rank: hash32(key(item))}))
		.sort((a, b) => a.rank - b.rank)
		.map(({item}) => item);
}
