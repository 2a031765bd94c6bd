import type {RequestRecord} from './request-record.ts';

/**
 * Whether a request may be sent once more: only what cannot have run, and otherwise safe calls and streams
 * that may be resumed, on no more targets than the route allows.
 */
export function mayRepeat({route, mayHaveRun, ranOn, awayRuns}: RequestRecord): boolean {
	if (!mayHaveRun) {
		return true;
	}

	const repeatable = route.kind === 'safe' || (route.kind === 'stream' && route.resumable);
	return repeatable && ranOn.size + awayRuns < route.attempts;
}
