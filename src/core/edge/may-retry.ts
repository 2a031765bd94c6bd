import {isIdempotent} from './is-idempotent.ts';
import type {RequestRecord} from './request-record.ts';

/** Most targets on which an entry may run a forwarded request: the entry that forwarded it keeps the rest of the route's attempts. */
const maxForwardedAttempts = 1;

/**
 * True if the route's rules allow a retry: always for a request that cannot have run, otherwise only for safe calls
 * and resumable streams, on at most as many targets as the route allows.
 */
export function mayRetry({req, route, mayHaveRun, mayHaveRunOn, forwardedRuns}: RequestRecord): boolean {
	if (!mayHaveRun) {
		return true;
	}

	const maxAttempts = req.forwarded === undefined ? route.attempts : Math.min(route.attempts, maxForwardedAttempts);
	return isIdempotent(route) && mayHaveRunOn.size + forwardedRuns.size < maxAttempts;
}
