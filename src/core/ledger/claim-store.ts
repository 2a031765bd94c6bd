import type {Millis} from '../ids/millis.ts';
import type {ClaimCopy} from './claim-copy.ts';
import type {KeptAnswer} from './kept-answer.ts';

type StoredClaim = {
	claim: Omit<ClaimCopy, 'ageMs' | 'answer'>;
	/** Place in the order of insertion, for paging. */
	readonly order: number;
	/** When the state changed last, on this node's clock. */
	at: number;
	answer?: KeptAnswer;
};

type ClaimStoreOptions = {
	/** Keys remembered; no new one is taken beyond. @default 100_000 */
	readonly maxClaims?: number;
	/** Bytes of all kept answers; the oldest are dropped beyond. @default 8_388_608 */
	readonly maxAnswerBytes?: number;
};

/** Shortest time that a claim whose end is not known is remembered, in milliseconds. */
const claimedKeepMs = 600_000;
/** Claims looked at for expiry in one tick. */
const sweepCount = 100;
/** Claims and bytes of answers in one page of a take-over. */
const pageClaims = 200;
const pageBytes = 262_144;

/** The claims that a keeper remembers, bounded in number and in bytes of answers. */
export class ClaimStore {
	readonly #maxClaims: number;
	readonly #maxAnswerBytes: number;
	readonly #claims = new Map<string, StoredClaim>();
	/** Keys with a kept answer, oldest first. */
	readonly #answered = new Set<string>();
	#answerBytes = 0;
	#order = 0;
	#sweep: Iterator<[string, StoredClaim]> | undefined;

	constructor({maxClaims = 100_000, maxAnswerBytes = 8_388_608}: ClaimStoreOptions = {}) {
		this.#maxClaims = maxClaims;
		this.#maxAnswerBytes = maxAnswerBytes;
	}

	get size(): number {
		return this.#claims.size;
	}

	get full(): boolean {
		return this.#claims.size >= this.#maxClaims;
	}

	get(key: string, now: Millis): ClaimCopy | undefined {
		const stored = this.#claims.get(key);
		return stored && this.#copy(stored, now);
	}

	/** Adds or replaces a claim. */
	put(claim: ClaimCopy, now: Millis): void {
		const {answer, ageMs, ...rest} = claim;
		const known = this.#claims.get(claim.key);
		this.#dropAnswer(claim.key);
		if (known) {
			known.claim = rest;
			known.at = now - ageMs;
		} else {
			this.#order += 1;
			this.#claims.set(claim.key, {claim: rest, order: this.#order, at: now - ageMs});
		}

		if (answer) {
			this.#keepAnswer(claim.key, answer);
		}
	}

	remove(key: string): void {
		this.#dropAnswer(key);
		this.#claims.delete(key);
	}

	clear(): void {
		this.#claims.clear();
		this.#answered.clear();
		this.#answerBytes = 0;
		this.#sweep = undefined;
	}

	all(now: Millis): ClaimCopy[] {
		return [...this.#claims.values()].map(stored => this.#copy(stored, now));
	}

	/** Claims inserted after `cursor`, bounded; `next` is the cursor of the following page, if there is one. */
	page(cursor: number, now: Millis): {claims: readonly ClaimCopy[]; next?: number} {
		const claims: ClaimCopy[] = [];
		let bytes = 0;
		let last = cursor;
		for (const stored of this.#claims.values()) {
			if (stored.order <= cursor) {
				continue;
			}

			if (claims.length >= pageClaims || bytes > pageBytes) {
				return {claims, next: last};
			}

			claims.push(this.#copy(stored, now));
			bytes += stored.answer?.body.length ?? 0;
			last = stored.order;
		}

		return {claims};
	}

	/** Forgets some of the claims whose time is over. */
	expire(now: Millis): void {
		this.#sweep ??= this.#claims.entries();
		for (let count = 0; count < sweepCount; count++) {
			const next = this.#sweep.next();
			if (next.done) {
				this.#sweep = undefined;
				return;
			}

			const [key, {claim, at}] = next.value;
			const keepMs = claim.state === 'claimed' ? Math.max(claim.keepMs, claimedKeepMs) : claim.keepMs;
			if (now - at > keepMs) {
				this.remove(key);
			}
		}
	}

	#copy({claim, at, answer}: StoredClaim, now: Millis): ClaimCopy {
		return {...claim, ageMs: Math.max(0, now - at), ...(answer && {answer})};
	}

	#keepAnswer(key: string, answer: KeptAnswer): void {
		this.#claims.get(key)!.answer = answer;
		this.#answered.add(key);
		this.#answerBytes += answer.body.length;
		for (const oldest of this.#answered) {
			if (this.#answerBytes <= this.#maxAnswerBytes) {
				break;
			}

			this.#dropAnswer(oldest);
		}
	}

	#dropAnswer(key: string): void {
		const stored = this.#claims.get(key);
		if (stored?.answer) {
			this.#answerBytes -= stored.answer.body.length;
			stored.answer = undefined;
			this.#answered.delete(key);
		}
	}
}
