import type {Millis} from '../ids/millis.ts';

/** Bounds retries of a route to a share of its requests. */
export interface RetryBudget {
	/** Notes a first attempt. */
	deposit(route: string, share: number, now: Millis): void;
	/** Takes one retry out of the budget if there is one. */
	withdraw(route: string, now: Millis): boolean;
}
