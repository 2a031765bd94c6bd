import type {Millis} from '../ids/millis.ts';

/** Limits the retries of a route to a share of its requests. */
export interface RetryBudget {
	/** Credits a first attempt with `share` of a retry. */
	deposit(route: string, share: number, now: Millis): void;
	/** Takes one retry from the budget; false if the budget is exhausted. */
	withdraw(route: string, now: Millis): boolean;
}
