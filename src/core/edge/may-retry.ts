import type {RequestRecord} from './request-record.ts';

/** Targets on which an entry may run a request that another entry forwarded: the rest of the route's number stays with that one. */
const maxForwardedAttempts = 1;

/**
 * Whether a request may be sent once more: only what cannot have run, and otherwise safe calls and streams
 * that may be resumed, on no more targets than the route allows.
 */
export function mayRetry({req, route, mayHaveRun, mayHaveRunOn: ranOn, forwardedRuns: awayRuns}: RequestRecord): boolean {
	if (!mayHaveRun) {
		return true;
	}

	const retryable = route.kind === 'safe' || (route.kind === 'stream' && route.resumable);
	const maxAttempts = req.forwarded === undefined ? route.attempts : Math.min(route.attempts, maxForwardedAttempts);
	return retryable && ranOn.size + awayRuns < maxAttempts;
}
