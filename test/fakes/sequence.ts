import {answerToken} from './answer-token.ts';

type SequenceOptions = {
	readonly digest: string;
	readonly priority: number;
	/** Prefill time from the place in the batch to the first token, in milliseconds. */
	readonly prefillMs: number;
	/** Text of the answer that another engine produced already. */
	readonly given: string;
	/** Tokens still to produce. */
	readonly maxTokens: number;
	readonly onToken: (text: string, index: number) => void;
	readonly onEnd: () => void;
};

/** One answer being produced. */
export class Sequence {
	readonly priority: number;
	readyAt = 0;
	readonly #options: SequenceOptions;
	readonly #last: number;
	#next: number;
	/** Part of the first token that the given text holds already. */
	#skip: number;

	constructor(options: SequenceOptions) {
		this.#options = options;
		this.priority = options.priority;
		const position = this.#locate();
		this.#next = position.index;
		this.#skip = position.skip;
		this.#last = position.index + options.maxTokens;
	}

	begin(now: number): void {
		this.readyAt = now + this.#options.prefillMs;
	}

	/** Produces one token; true once the answer is whole. */
	emit(): boolean {
		if (this.#next < this.#last) {
			const text = answerToken(this.#options.digest, this.#next).slice(this.#skip);
			this.#skip = 0;
			this.#next += 1;
			this.#options.onToken(text, this.#next - 1);
		}

		if (this.#next < this.#last) {
			return false;
		}

		this.#options.onEnd();
		return true;
	}

	#locate(): {index: number; skip: number} {
		let index = 0;
		let rest = this.#options.given.length;
		while (rest > 0) {
			const {length} = answerToken(this.#options.digest, index);
			if (rest < length) {
				return {index, skip: rest};
			}

			rest -= length;
			index += 1;
		}

		return {index, skip: 0};
	}
}
