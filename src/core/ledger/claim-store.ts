import type {Millis} from '../ids/millis.ts';
import {CountedMap} from '../memory/counted-map.ts';
import type {StateBudget} from '../memory/state-budget.ts';
import {answerSize} from './answer-size.ts';
import type {ClaimRecord} from './claim-record.ts';
import type {StoredAnswer} from './stored-answer.ts';

type StoredClaim = {
	claim: Omit<ClaimRecord, 'ageMs' | 'answer'>;
	/** Insertion number, used as the cursor for paging. */
	readonly order: number;
	/** Time of the last change of state, on this node's clock. */
	changedAt: number;
	answer?: StoredAnswer;
};

/** Memory of a claim beside its key, in bytes. */
const claimBytes = 256;

type ClaimStoreOptions = {
	/** Memory that the claims may take with their keys, but without their answers. */
	readonly budget: StateBudget;
	/** Maximum number of keys; further ones are refused, also if their memory is used up. @default 100_000 */
	readonly maxClaims?: number;
	/** Maximum total size of the answers, in bytes, with their types and with bodies in base64; the oldest are dropped beyond that. @default 8_388_608 */
	readonly maxAnswerBytes?: number;
};

/** Minimum time for which a claim whose request has not ended is stored, in milliseconds. */
const minClaimedKeepMs = 600_000;
/** Claims checked for expiry in one tick. */
const sweepBatchSize = 100;
/** Limits of one page of a transfer; a page ends after the claim whose answer takes it over `maxPageAnswerBytes`. */
const maxPageClaims = 200;
const maxPageAnswerBytes = 262_144;

/** A keeper's claims, bounded in number and in bytes of answers. */
export class ClaimStore {
	readonly #maxClaims: number;
	readonly #maxAnswerBytes: number;
	readonly #claims: CountedMap<string, StoredClaim>;
	readonly #budget: StateBudget;
	/** Keys with a stored answer, oldest first. */
	readonly #answered = new Set<string>();
	#answerBytes = 0;
	#lastOrder = 0;
	#sweepIterator: Iterator<[string, StoredClaim]> | undefined;

	constructor({budget, maxClaims = 100_000, maxAnswerBytes = 8_388_608}: ClaimStoreOptions) {
		this.#budget = budget;
		this.#claims = new CountedMap({budget, whenFull: 'keep', valueBytes: () => claimBytes});
		this.#maxClaims = maxClaims;
		this.#maxAnswerBytes = maxAnswerBytes;
	}

	get size(): number {
		return this.#claims.size;
	}

	get full(): boolean {
		return this.#claims.size >= this.#maxClaims || this.#budget.isFull;
	}

	get(key: string, now: Millis): ClaimRecord | undefined {
		const stored = this.#claims.get(key);
		return stored && this.#toRecord(stored, now);
	}

	/** Adds a claim, or replaces the one with its key. */
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

	/** A page of the claims inserted after `cursor`; `next` is the cursor of the following page, absent on the last one. */
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
			bytes += answerSize(stored.answer);
			last = stored.order;
		}

		return {claims};
	}

	/** Checks the next batch of claims and removes the expired ones. */
	expire(now: Millis): void {
		this.#sweepIterator ??= this.#claims.entries();
		for (let count = 0; count < sweepBatchSize; count++) {
			const next = this.#sweepIterator.next();
			if (next.done) {
				this.#sweepIterator = undefined;
				return;
			}

			const [key, {claim, changedAt}] = next.value;
			const keepMs = claim.state === 'claimed' ? Math.max(claim.keepMs, minClaimedKeepMs) : claim.keepMs;
			if (now - changedAt > keepMs) {
				this.remove(key);
			}
		}
	}

	#toRecord({claim, changedAt, answer}: StoredClaim, now: Millis): ClaimRecord {
		return {...claim, ageMs: Math.max(0, now - changedAt), ...(answer && {answer})};
	}

	#keepAnswer(key: string, answer: StoredAnswer): void {
		this.#claims.get(key)!.answer = answer;
		this.#answered.add(key);
		this.#answerBytes += answerSize(answer);
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
			this.#answerBytes -= answerSize(stored.answer);
			stored.answer = undefined;
			this.#answered.delete(key);
		}
	}
}
