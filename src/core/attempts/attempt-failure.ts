import type {CoreEvent} from '../events.ts';

/** Why an attempt gave no whole answer, as the server reports it. */
export type AttemptFailure = Extract<CoreEvent, {type: 'attempt-failed'}>['failure'];
