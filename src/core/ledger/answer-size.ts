import type {StoredAnswer} from './stored-answer.ts';

/** Memory that an answer takes, in bytes. */
export function answerSize(answer: StoredAnswer | undefined): number {
	return answer === undefined ? 0 : answer.body.length + answer.contentType.length;
}
