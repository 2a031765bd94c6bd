import type {Millis} from '../ids/millis.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {RequestState} from './request-state.ts';

/** How long the server lets an attempt be silent: this bounds silence, not slowness. */
export function attemptTimeouts(state: RequestState, settings: RouteSettings, now: Millis): {firstByteMs: number; silenceMs: number} {
	const {silenceMs} = settings;
	const untilDeadline = Math.max(0, state.deadlineAt - now);
	return {firstByteMs: untilDeadline + silenceMs, silenceMs};
}
