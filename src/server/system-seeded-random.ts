import {randomInt} from 'node:crypto';
import type {Random} from '../core/common/random.ts';
import {SeededRandom} from '../core/common/seeded-random.ts';

const seedRange = 4_294_967_296;

/** Random numbers for a running process: a fast generator that is not cryptographically secure, seeded from the system's. */
export class SystemSeededRandom implements Random {
	readonly #generator = new SeededRandom(randomInt(seedRange));

	next(): number {
		return this.#generator.next();
	}
}
