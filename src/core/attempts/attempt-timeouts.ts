import type {Millis} from '../ids/millis.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {RequestState} from './request-state.ts';

/**
 * Timeouts of an attempt in milliseconds, until the first byte and between later bytes. They bound silence, not the
 * total duration: a slow answer that keeps sending is not cut off.
 */
export function attemptTimeouts(state: RequestState, settings: RouteSettings, now: Millis): {firstByteMs: number; silenceMs: number} {
	const {silenceMs} = settings;
	const untilDeadline = Math.max(0, state.deadlineAt - now);
	return {firstByteMs: untilDeadline + silenceMs, silenceMs};
}
