import type {ResultName} from '../results/result-name.ts';
import type {AttemptFailure} from './attempt-failure.ts';

/** The result of a request that is given up after this failure, if no part of an answer was delivered. */
export function failureResult(failure: AttemptFailure): ResultName {
	if (failure.reason === 'silence') {
		return 'silence';
	}

	return failure.reason === 'refused' ? failure.refusal?.result ?? 'targetRefused' : 'targetFailed';
}
