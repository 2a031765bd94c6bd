import type {StoredAnswer} from './stored-answer.ts';

/** Answer of the ledger to a claim. */
export type ClaimOutcome =
	/** This entry may run the request; nobody else may. */
	| {readonly type: 'granted'}
	/** It ran before; this was its answer. */
	| {readonly type: 'replay'; readonly answer: StoredAnswer}
	| {readonly type: 'in-progress'; readonly retryAfterMs: number}
	/** It was claimed and its end is not known, or its answer is no longer kept. */
	| {readonly type: 'may-have-run'}
	| {readonly type: 'key-reused'}
	/**
	 * The keepers cannot be reached; the claim was not made and will not be.
	 * `ran` is `no` if a keeper held the claim from its start to its end, so that no other try of the key ran; `maybe` or absent if one may have.
	 */
	| {readonly type: 'unavailable'; readonly retryAfterMs: number; readonly ran?: 'no' | 'maybe'};
