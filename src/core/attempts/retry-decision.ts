import type {Refusal} from '../results/refusal.ts';

/** What happens to a request after a failed attempt. */
export type RetryDecision =
	| {readonly type: 'retry'}
	/** Continues the partial answer, on a target that can resume. */
	| {readonly type: 'resume'}
	/** Refuses the request; `retryable` if the caller may retry it later. */
	| {readonly type: 'give-up'; readonly result: Refusal['result']; readonly retryable: boolean};
