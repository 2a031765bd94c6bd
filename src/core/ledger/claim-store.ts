import type {Millis} from '../ids/millis.ts';
import type {ClaimRecord} from './claim-record.ts';
import type {StoredAnswer} from './stored-answer.ts';

type StoredClaim = {
	claim: Omit<ClaimRecord, 'ageMs' | 'answer'>;
	/** Place in the order of insertion, for paging. */
	readonly order: number;
	/** When the state changed last, on this node's clock. */
	changedAt: number;
	answer?: StoredAnswer;
};

type ClaimStoreOptions = {
	/** Keys remembered; no new one is taken beyond. @default 100_000 */
	readonly maxClaims?: number;
	/** Bytes of all kept answers; the oldest are dropped beyond. @default 8_388_608 */
	readonly maxAnswerBytes?: number;
};

/** Shortest time that a claim whose end is not known is remembered, in milliseconds. */
const minClaimedKeepMs = 600_000;
/** Claims looked at for expiry in one tick. */
const sweepBatchSize = 100;
/** Claims and bytes of answers in one page of a take-over. */
const maxPageClaims = 200;
const maxPageAnswerBytes = 262_144;

/** The claims that a keeper remembers, bounded in number and in bytes of answers. */
export class ClaimStore {
	readonly #maxClaims: number;
	readonly #maxAnswerBytes: number;
	readonly #claims = new Map<string, StoredClaim>();
	/** Keys with a kept answer, oldest first. */
	readonly #answered = new Set<string>();
	#answerBytes = 0;
	#lastOrder = 0;
	#sweepIterator: Iterator<[string, StoredClaim]> | undefined;

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

	get(key: string, now: Millis): ClaimRecord | undefined {
		const stored = this.#claims.get(key);
		return stored && this.#toRecord(stored, now);
	}

	/** Adds or replaces a claim. */
	put(claim: ClaimRecord, now: Millis): void {
		const {answer, ageMs, ...rest} = claim;
		const known = this.#claims.get(claim.key);
		this.#dropAnswer(claim.key);
		if (known) {
			known.claim = rest;
			known.changedAt = now - ageMs;
		} else {
			this.#lastOrder += 1;
			this.#claims.set(claim.key, {claim: rest, order: this.#lastOrder, changedAt: now - ageMs});
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
		this.#sweepIterator = undefined;
	}

	all(now: Millis): ClaimRecord[] {
		return [...this.#claims.values()].map(stored => this.#toRecord(stored, now));
	}

	/** Claims inserted after `cursor`, bounded; `next` is the cursor of the following page, if there is one. */
	page(cursor: number, now: Millis): {claims: readonly ClaimRecord[]; next?: number} {
		const claims: ClaimRecord[] = [];
		let bytes = 0;
		let last = cursor;
		for (const stored of this.#claims.values()) {
			if (stored.order <= cursor) {
				continue;
			}

			if (claims.length >= maxPageClaims || bytes > maxPageAnswerBytes) {
				return {claims, next: last};
			}

			claims.push(this.#toRecord(stored, now));
			bytes += stored.answer?.body.length ?? 0;
			last = stored.order;
		}

		return {claims};
	}

	/** Forgets some of the claims whose time is over. */
	expire(now: Millis): void {
		this.#sweepIterator ??= this.#claims.entries();
		for (let count = 0; count < sweepBatchSize; count++) {
			const next = this.#sweepIterator.next();
			if (next.done) {
				this.#sweepIterator = undefined;
				return;
			}

			const [key, {claim, changedAt: at}] = next.value;
			const keepMs = claim.state === 'claimed' ? Math.max(claim.keepMs, minClaimedKeepMs) : claim.keepMs;
			if (now - at > keepMs) {
				this.remove(key);
			}
		}
	}

	#toRecord({claim, changedAt: at, answer}: StoredClaim, now: Millis): ClaimRecord {
		return {...claim, ageMs: Math.max(0, now - at), ...(answer && {answer})};
	}

	#keepAnswer(key: string, answer: StoredAnswer): void {
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
