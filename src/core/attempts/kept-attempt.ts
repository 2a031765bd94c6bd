import type {Millis} from '../ids/millis.ts';
import type {AttemptOutcome} from '../targets/attempt-outcome.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {AttemptState} from './attempt-state.ts';
import type {RequestState} from './request-state.ts';

/** An attempt that its request has failed over from, and that goes on until another one has taken the request over. */
export type KeptAttempt = {
	readonly attempt: AttemptState;
	/** Outcome that its target gets once another attempt has taken the request over. */
	readonly result: Extract<AttemptOutcome['result'], 'failed' | 'cancelled'>;
	/** Why the request failed over, if that counts as a failure of the attempt. */
	readonly reason?: AttemptFailure['reason'];
	/** What held of the request before it failed over, and holds again if the attempt goes on. */
	readonly before: Pick<RequestState, 'partiallyAnswered' | 'softwareVersion' | 'deliveredTokens' | 'deadlineAt'>;
	/** When its successor was first seen to work, or the earliest possible time if the sign lay unread: from then on both are at work. */
	overlapsSince?: Millis;
	/** True once the poison guard counts the attempt as stopped: it blames the request for a crash of the target already. */
	stoppedForGuard: boolean;
};
