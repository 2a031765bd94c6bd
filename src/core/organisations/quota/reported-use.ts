import type {Millis} from '../../ids/millis.ts';
import type {OrganisationUse} from './organisation-use.ts';
import {partsOfUse} from './parts-of-use.ts';
import {recentPart} from './recent-part.ts';
import {refusalShare} from './refusal-share.ts';

/** Longest time for which use is taken to go on as in the newest part of a report, in milliseconds: entries that have no processor time left report late. */
const continuedMs = 1000;

/** Use that was reported some time ago, moved on to the present: what has left the window since is left out, and it is taken to go on as at last. */
export class ReportedUse {
	/** Units refused lately. */
	readonly refused: number;
	/** Units sent in the newest half of that part. */
	readonly recent: number;
	readonly #used: readonly number[];
	readonly #at: Millis;
	readonly #partMs: number;

	/** @param at - time to which the ages in the report refer. */
	constructor([, refused, recent, ...used]: OrganisationUse, {at, windowMs}: {at: Millis; windowMs: number}) {
		this.refused = refused;
		this.recent = recent;
		this.#used = used;
		this.#at = at;
		this.#partMs = windowMs / partsOfUse;
	}

	/** Units sent lately, in the share of the window over which refusals are counted. */
	get newest(): number {
		return this.#used.slice(0, partsOfUse * refusalShare).reduce((left, right) => left + right, 0);
	}

	/** Units in the window that ends at `now`; use goes on until then, or until `until`. */
	used(now: Millis, until = now): number {
		const leftParts = partsOfUse - (Math.max(0, now - this.#at) / this.#partMs);
		let sum = this.#continued(until);
		for (const [index, amount] of this.#used.entries()) {
			sum += amount * Math.min(1, Math.max(0, leftParts - index));
		}

		return sum;
	}

	/** The same amounts by age at `now`; a part that straddles two is divided between them. */
	byAge(now: Millis): number[] {
		const shift = Math.max(0, now - this.#at) / this.#partMs;
		const whole = Math.floor(shift);
		const rest = shift - whole;
		const amounts = Array.from({length: partsOfUse}, () => 0);
		amounts[0] = this.#continued(now);
		for (const [index, amount] of this.#used.entries()) {
			const part = index + whole;
			if (part < partsOfUse) {
				amounts[part]! += amount * (1 - rest);
			}

			if (part + 1 < partsOfUse) {
				amounts[part + 1]! += amount * rest;
			}
		}

		return amounts;
	}

	#continued(until: Millis): number {
		return this.recent / recentPart * Math.min(continuedMs, Math.max(0, until - this.#at)) / this.#partMs;
	}
}
