import type {Random} from './random.ts';

/** Mulberry32 generator: 32 bits of state, good enough for jitter, sampling and tests; not for keys. */
export class SeededRandom implements Random {
	#state: number;

	constructor(seed: number) {
		this.#state = seed >>> 0;
	}

	next(): number {
		this.#state = (this.#state + 0x6D_2B_79_F5) >>> 0;
		let t = this.#state;
		t = Math.imul(t ^ (t >>> 15), t | 1);
		t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
		return ((t ^ (t >>> 14)) >>> 0) / 4_294_967_296;
	}
}
