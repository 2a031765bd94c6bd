/** Bytes of a target go on beyond what an answer may have; they are taken for no answer. */
export class AnswerLimitError extends Error {
	readonly code: string;

	constructor(limit: string, bytes: number) {
		super(`${limit} exceeds ${bytes} bytes`);
		this.name = 'AnswerLimitError';
		this.code = 'ERR_ANSWER_LIMIT';
	}
}
