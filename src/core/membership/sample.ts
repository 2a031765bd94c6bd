import type {Random} from '../common/random.ts';

/** Returns up to `count` distinct items in random order (partial Fisher-Yates shuffle). */
export function sample<Item>(items: readonly Item[], count: number, random: Random): Item[] {
	const pool = [...items];
	const size = Math.min(count, pool.length);
	for (let index = 0; index < size; index++) {
		const other = index + Math.floor(random.next() * (pool.length - index));
		[pool[index], pool[other]] = [pool[other]!, pool[index]!];
	}

	return pool.slice(0, size);
}
