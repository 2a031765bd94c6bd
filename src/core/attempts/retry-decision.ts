import type {Refusal} from '../results/refusal.ts';

/** What follows a failed attempt. */
export type RetryDecision =
	| {readonly type: 'retry'}
	/** Goes on from the text passed on; only on a target that can. */
	| {readonly type: 'resume'}
	| {readonly type: 'give-up'; readonly result: Refusal['result']; readonly retryable: boolean};
