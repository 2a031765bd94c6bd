import {answerToken} from './answer-token.ts';

type SequenceOptions = {
	readonly digest: string;
	readonly priority: number;
	/** Prefill time, from joining the batch to the first token, in milliseconds. */
	readonly prefillMs: number;
	/** Partial answer that another engine has already produced; may end within a token. */
	readonly resumedText: string;
	/** Number of tokens to produce; a partial token counts as one. */
	readonly maxTokens: number;
	readonly onToken: (text: string, index: number) => void;
	readonly onEnd: () => void;
};

/** An answer being generated in the batch. */
export class Sequence {
	readonly priority: number;
	/** Wall-clock time in milliseconds at which the prefill ends. */
	readyAt = 0;
	readonly #options: SequenceOptions;
	readonly #endIndex: number;
	#nextIndex: number;
	/** Characters of the first token that the resumed text already contains. */
	#skipCharacters: number;

	constructor(options: SequenceOptions) {
		this.#options = options;
		this.priority = options.priority;
		const position = this.#locateResumePoint();
		this.#nextIndex = position.index;
		this.#skipCharacters = position.skip;
		this.#endIndex = position.index + options.maxTokens;
	}

	begin(now: number): void {
		this.readyAt = now + this.#options.prefillMs;
	}

	/** Produces one token; returns true once the answer is complete. */
	emit(): boolean {
		if (this.#nextIndex < this.#endIndex) {
			const text = answerToken(this.#options.digest, this.#nextIndex).slice(this.#skipCharacters);
			this.#skipCharacters = 0;
			this.#nextIndex += 1;
			this.#options.onToken(text, this.#nextIndex - 1);
		}

		if (this.#nextIndex < this.#endIndex) {
			return false;
		}

		this.#options.onEnd();
		return true;
	}

	#locateResumePoint(): {index: number; skip: number} {
		let index = 0;
		let remaining = this.#options.resumedText.length;
		while (remaining > 0) {
			const {length} = answerToken(this.#options.digest, index);
			if (remaining < length) {
				return {index, skip: remaining};
			}

			remaining -= length;
			index += 1;
		}

		return {index, skip: 0};
	}
}
