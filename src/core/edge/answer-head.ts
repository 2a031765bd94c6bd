import type {TargetLoad} from './target-load.ts';

/** The head of an answer, as far as decisions depend on it. */
export type AnswerHead = {
	readonly status: number;
	/** True if the answer says that the request has not run. */
	readonly notRun: boolean;
	/** True if the target vouched for the answer. */
	readonly signed: boolean;
	/** Load that the target reported with the answer. */
	readonly load?: TargetLoad;
	/** Set if an entry of another region refused the request. */
	readonly refusedBy?: 'entry';
	readonly retryAfterMs?: number;
};
