import type {AttemptFailure} from './attempt-failure.ts';

/** True if the connection broke after the request may have been sent: the target may have crashed. */
export function isConnectionBroken(failure: AttemptFailure): boolean {
	return !failure.notSent && (failure.reason === 'reset' || failure.reason === 'truncated');
}
