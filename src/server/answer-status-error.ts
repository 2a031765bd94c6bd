/** A target answers with a status that is no final status; it is taken for no answer. */
export class AnswerStatusError extends Error {
	readonly code: string;

	constructor(status: number) {
		super(`${status} is no final status`);
		this.name = 'AnswerStatusError';
		this.code = 'ERR_ANSWER_STATUS';
	}
}
