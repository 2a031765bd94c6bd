import type {CoreEvent} from '../events.ts';

/** Why an attempt ended without a complete answer, as reported by the server. */
export type AttemptFailure = Extract<CoreEvent, {type: 'attempt-failed'}>['failure'];
