import type {RequestRecord} from './request-record.ts';

/** Targets on which an entry may run a request that another entry forwarded: the rest of the route's number stays with that one. */
const forwardedAttempts = 1;

/**
 * Whether a request may be sent once more: only what cannot have run, and otherwise safe calls and streams
 * that may be resumed, on no more targets than the route allows.
 */
export function mayRepeat({req, route, mayHaveRun, ranOn, awayRuns}: RequestRecord): boolean {
	if (!mayHaveRun) {
		return true;
	}

	const repeatable = route.kind === 'safe' || (route.kind === 'stream' && route.resumable);
	const attempts = req.forwarded === undefined ? route.attempts : Math.min(route.attempts, forwardedAttempts);
	return repeatable && ranOn.size + awayRuns < attempts;
}
