import {hash32} from '../common/hash32.ts';

/** Sorts items by the hash of their keys: nodes that know the same items get the same order. */
export function rankByHash<Item>(items: readonly Item[], key: (item: Item) => string): Item[] {
	return items
		.map(item => ({item, rank: hash32(key(item))}))
		.sort((a, b) => a.rank - b.rank)
		.map(({item}) => item);
}
