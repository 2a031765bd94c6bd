import type {Millis} from '../ids/millis.ts';

/** Time from a failed write until the journal is rewritten, in milliseconds. */
const rewriteDelayMs = 500;

/** Decides when a journal is rewritten whole after a failed write: the end of the file is unknown then, so that nothing can be appended to it. */
export class JournalRecovery {
	#reason: string | undefined;
	#rewriteAt: number | undefined;
	/** Token of the rewrite in progress. */
	#token: number | undefined;

	/** Why the last write failed; undefined while the journal can be written. */
	get reason(): string | undefined {
		return this.#reason;
	}

	/** Records a failed write; returns true if the journal could be written until then. */
	failed(reason: string, now: Millis): boolean {
		const isFirst = this.#reason === undefined;
		this.#reason = reason;
		this.#rewriteAt = now + rewriteDelayMs;
		this.#token = undefined;
		return isFirst;
	}

	/** Calls `rewrite`, which returns the token of the write, once it is due. */
	tick(rewrite: () => number, now: Millis): void {
		if (this.#rewriteAt !== undefined && now >= this.#rewriteAt) {
			this.#rewriteAt = undefined;
			this.#token = rewrite();
		}
	}

	/** Records a synced write; returns true if the journal can be written again since then. */
	written(token: number): boolean {
		if (this.#token === undefined || token < this.#token) {
			return false;
		}

		this.#reason = undefined;
		this.#rewriteAt = undefined;
		this.#token = undefined;
		return true;
	}
}
