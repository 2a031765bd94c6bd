import type {Millis} from '../ids/millis.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {RequestState} from './request-state.ts';

/** Longest time to the whole of an answer that is not streamed, in milliseconds: no byte of it comes before. */
const unstreamedMs = 600_000;

/** How long the server lets an attempt be silent: this bounds silence, not slowness. */
export function attemptLimits(state: RequestState, settings: RouteSettings, now: Millis): {firstByteMs: number; silenceMs: number} {
	const {silenceMs} = settings;
	if (state.req.kind === 'completion' && !state.req.streamed) {
		return {firstByteMs: unstreamedMs, silenceMs};
	}

	const untilDeadline = Math.max(0, state.deadlineAt - now);
	return {firstByteMs: untilDeadline + silenceMs, silenceMs};
}
