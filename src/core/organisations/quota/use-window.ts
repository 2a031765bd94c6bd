import type {Millis} from '../../ids/millis.ts';

/** Parts into which the window is divided. A part counts until all of it has left the window, so that the sum is never too low. */
const parts = 64;

/** Sum of amounts over a sliding window. */
export class UseWindow {
	readonly #partMs: number;
	readonly #amounts = new Float64Array(parts + 1);
	#newest = Number.NEGATIVE_INFINITY;
	#sum = 0;

	constructor(windowMs: number) {
		this.#partMs = windowMs / parts;
	}

	sum(now: Millis): number {
		this.#advance(now);
		return this.#sum;
	}

	add(amount: number, now: Millis): void {
		this.#advance(now);
		this.#amounts[slotOf(this.#newest)]! += amount;
		this.#sum += amount;
	}

	/** Takes back an amount that was added at `at`; without effect once that has left the window. */
	remove(amount: number, at: Millis, now: Millis): void {
		this.#advance(now);
		const number = Math.floor(at / this.#partMs);
		if (number <= this.#newest && number >= this.#newest - parts) {
			const slot = slotOf(number);
			const removed = Math.min(amount, this.#amounts[slot]!);
			this.#amounts[slot]! -= removed;
			this.#sum -= removed;
		}
	}

	/** What will still be in the window after `ms` if nothing is added. */
	sumAfter(ms: number, now: Millis): number {
		this.#advance(now);
		const leaving = Math.floor((now + ms) / this.#partMs) - this.#newest;
		let sum = this.#sum;
		for (let age = parts; age > parts - leaving && age >= 0; age -= 1) {
			sum -= this.#amounts[slotOf(this.#newest - age)]!;
		}

		return sum;
	}

	/** What was added within the last `ms`, estimated from the whole parts that cover them. */
	newest(ms: number, now: Millis): number {
		this.#advance(now);
		const whole = Math.max(1, Math.round(ms / this.#partMs));
		let sum = 0;
		for (let age = 0; age <= whole; age += 1) {
			sum += this.#amounts[slotOf(this.#newest - age)]!;
		}

		const coveredMs = (whole * this.#partMs) + Math.max(0, now - (this.#newest * this.#partMs));
		return sum * ms / coveredMs;
	}

	/** Amounts by age in `count` equal divisions of the window, the newest first. */
	byAge(count: number, now: Millis): number[] {
		this.#advance(now);
		const amounts = Array.from({length: count}, () => 0);
		if (this.#sum > 0) {
			for (let age = 0; age <= parts; age += 1) {
				amounts[Math.min(count - 1, Math.floor(age * count / parts))]! += this.#amounts[slotOf(this.#newest - age)]!;
			}
		}

		return amounts;
	}

	#advance(now: Millis): void {
		const number = Math.floor(now / this.#partMs);
		if (number <= this.#newest) {
			return;
		}

		if (number - this.#newest > parts) {
			this.#amounts.fill(0);
			this.#sum = 0;
		} else {
			for (let next = this.#newest + 1; next <= number; next += 1) {
				const slot = slotOf(next);
				this.#sum -= this.#amounts[slot]!;
				this.#amounts[slot] = 0;
			}

			// Rounding errors must not add up over days.
			this.#sum = this.#sum < 1e-6 ? 0 : this.#sum;
		}

		this.#newest = number;
	}
}

function slotOf(number: number): number {
	return ((number % (parts + 1)) + parts + 1) % (parts + 1);
}
