import type {StoredAnswer} from './stored-answer.ts';

/** Outcome of a claim. */
export type ClaimOutcome =
	/** This entry, and no other, may run the request. */
	| {readonly type: 'granted'}
	/** The request ran before with this answer. */
	| {readonly type: 'replay'; readonly answer: StoredAnswer}
	/** Another request with the key is running or being claimed. */
	| {readonly type: 'in-progress'; readonly retryAfterMs: number}
	/** The key was claimed before, and how the request ended is unknown or its answer is no longer stored. */
	| {readonly type: 'may-have-run'}
	/** The key was used before for a request with other content. */
	| {readonly type: 'key-reused'}
	/**
	 * The keepers did not all accept the claim in time; it was not granted and will not be.
	 * `ran` is `no` if a keeper held the claim from its start to its release, so that no other request with the key ran;
	 * `maybe` or absent if one may have run.
	 */
	| {readonly type: 'unavailable'; readonly retryAfterMs: number; readonly ran?: 'no' | 'maybe'};
