import type {ResultName} from '../results/result-name.ts';
import type {AttemptFailure} from './attempt-failure.ts';

/** The result that a caller gets if its request is given up after this failure and nothing was passed on. */
export function failureResult(failure: AttemptFailure): ResultName {
	if (failure.reason === 'silence') {
		return 'silence';
	}

	return failure.reason === 'refused' ? failure.refusal?.result ?? 'targetRefused' : 'targetFailed';
}
