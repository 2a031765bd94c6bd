import type {ClaimId} from './claim-id.ts';
import type {StoredAnswer} from './stored-answer.ts';

/** A stored claim, as written to the journal and transferred to the next set of keepers. */
export type ClaimRecord = {
	/** Scope and idempotency key, separated by a newline. */
	readonly key: string;
	readonly claimId: ClaimId;
	readonly fingerprint: string;
	/** `claimed`: the request may be running or may have run; `done`: it ran; `unknown`: its coordinator ended it without knowing whether it ran. */
	readonly state: 'claimed' | 'done' | 'unknown';
	readonly keepMs: number;
	/**
	 * Time since the last change of state, in milliseconds. It may be too short, since the time between a journal write
	 * and the next start of the keeper is not counted, but never too long, so a key is not forgotten early.
	 */
	readonly ageMs: number;
	readonly answer?: StoredAnswer;
};
