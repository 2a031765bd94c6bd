import type {ClaimId} from './claim-id.ts';
import type {StoredAnswer} from './stored-answer.ts';

/** A kept claim as it is journaled and handed to the next set of keepers. */
export type ClaimRecord = {
	/** Scope and idempotency key. */
	readonly key: string;
	readonly claimId: ClaimId;
	readonly fingerprint: string;
	/** `claimed`: it may run now or have run; `done`: it ran; `unknown`: it may have run and its coordinator is through with it. */
	readonly state: 'claimed' | 'done' | 'unknown';
	readonly keepMs: number;
	/** Time since the last change of state as far as counted: never too long, so a key is not forgotten early. */
	readonly ageMs: number;
	readonly answer?: StoredAnswer;
};
