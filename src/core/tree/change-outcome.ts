import type {ChangeId} from '../ids/change-id.ts';

/** Outcome of an operator's change; a resent change gets the same one again. */
export type ChangeOutcome =
	| {readonly type: 'accepted'; readonly revision: number}
	/**
	 * The number does not follow `revision`, the current one. `winner` is the id of the accepted change with this
	 * number; absent if there is none or it is no longer known.
	 */
	| {readonly type: 'number-taken'; readonly winner?: ChangeId; readonly revision: number}
	| {readonly type: 'id-reused'}
	| {readonly type: 'invalid'; readonly problems: ReadonlyArray<{path: string; key?: string; problem: string; remedy: string}>}
	| {readonly type: 'no-quorum'; readonly retryAfterMs: number};
