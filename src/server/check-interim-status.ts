import {AnswerStatusError} from './answer-status-error.ts';

/** Checks the status of an answer that the HTTP client takes for an interim one, as it does with each below 200. @throws AnswerStatusError if the status is below 100. */
export function checkInterimStatus({statusCode}: {readonly statusCode: number}): void {
	if (statusCode < 100) {
		throw new AnswerStatusError(statusCode);
	}
}
