import type {Millis} from '../ids/millis.ts';

/** Width of one slot, in milliseconds. */
const slotMs = 100;

const slotsPerSecond = 10;

/** Sums amounts over the last second, in a ring of 100 ms slots, so that memory is constant. */
export class RateMeter {
	readonly #slots = Array.from({length: slotsPerSecond}, () => ({slot: -1, amount: 0}));

	add(amount: number, now: Millis): void {
		const slot = Math.floor(now / slotMs);
		const cell = this.#slots[slot % slotsPerSecond]!;
		if (cell.slot !== slot) {
			cell.slot = slot;
			cell.amount = 0;
		}

		cell.amount += amount;
	}

	lastSecond(now: Millis): number {
		const oldest = Math.floor(now / slotMs) - slotsPerSecond;
		let sum = 0;
		for (const cell of this.#slots) {
			sum += cell.slot > oldest ? cell.amount : 0;
		}

		return sum;
	}
}
