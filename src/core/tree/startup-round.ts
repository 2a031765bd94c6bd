import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';

/** Longest wait for the answers of all sources, in milliseconds. */
const roundMs = 3000;
/** Time between two questions to a source that has not answered, in milliseconds. */
const askEveryMs = 300;
/** Sources asked at most. */
const maxSources = 12;

/** The round of questions at start: the node serves once it has the highest revision that the answers name. */
export class StartupRound {
	readonly #sources: () => readonly NodeId[];
	readonly #ask: (nodeId: NodeId) => void;
	readonly #answers = new Map<NodeId, number>();
	#startedAt: number | undefined;
	#askAt = 0;
	#ended = false;

	constructor(sources: () => readonly NodeId[], ask: (nodeId: NodeId) => void) {
		this.#sources = sources;
		this.#ask = ask;
	}

	answered(from: NodeId, revision: number): void {
		if (!this.#ended) {
			this.#answers.set(from, Math.max(revision, this.#answers.get(from) ?? 0));
		}
	}

	tick(now: Millis): void {
		this.#startedAt ??= now;
		if (this.#ended || now < this.#askAt) {
			return;
		}

		this.#askAt = now + askEveryMs;
		for (const nodeId of this.#open()) {
			this.#ask(nodeId);
		}
	}

	/** True once the answers are in, or time is up, and `revision` is as high as any of them; it stays true. */
	ended(options: {revision: number; hasOwnLog: boolean}, now: Millis): boolean {
		this.#ended ||= this.#startedAt !== undefined && this.#complete(options, now);

		return this.#ended;
	}

	#complete({revision, hasOwnLog}: {revision: number; hasOwnLog: boolean}, now: Millis): boolean {
		const timeIsUp = now - this.#startedAt! >= roundMs;
		const waiting = this.#open().length > 0 && !timeIsUp;
		const heard = this.#answers.size > 0 || (hasOwnLog && (timeIsUp || this.#sources().length === 0));
		const highest = Math.max(0, ...this.#answers.values());
		return !waiting && heard && revision >= highest;
	}

	#open(): readonly NodeId[] {
		return this.#sources().slice(0, maxSources).filter(nodeId => !this.#answers.has(nodeId));
	}
}
