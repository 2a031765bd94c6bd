import {AnswerStatusError} from './answer-status-error.ts';

/** @throws AnswerStatusError if the status of an answer lies outside 200 to 599. */
export function checkFinalStatus(status: number): void {
	if (status < 200 || status > 599) {
		throw new AnswerStatusError(status);
	}
}
