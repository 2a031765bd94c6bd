import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';

/** Longest wait for the answers of all sources, in milliseconds. */
const startupTimeoutMs = 3000;
/** Time between two queries to a source that has not answered, in milliseconds. */
const queryIntervalMs = 300;
/** Largest number of sources queried. */
const maxSources = 12;

/** Queries other nodes for their revision at start: the node serves once it has the highest revision among the answers. */
export class StartupSync {
	readonly #sources: () => readonly NodeId[];
	readonly #query: (nodeId: NodeId) => void;
	readonly #answers = new Map<NodeId, number>();
	#startedAt: number | undefined;
	#nextQueryAt = 0;
	#completed = false;

	constructor(sources: () => readonly NodeId[], query: (nodeId: NodeId) => void) {
		this.#sources = sources;
		this.#query = query;
	}

	handleAnswer(from: NodeId, revision: number): void {
		if (!this.#completed) {
			this.#answers.set(from, Math.max(revision, this.#answers.get(from) ?? 0));
		}
	}

	tick(now: Millis): void {
		this.#startedAt ??= now;
		if (this.#completed || now < this.#nextQueryAt) {
			return;
		}

		this.#nextQueryAt = now + queryIntervalMs;
		for (const nodeId of this.#unansweredSources()) {
			this.#query(nodeId);
		}
	}

	/**
	 * True once all sources have answered or the time is up, and `revision` is at least the highest answer; stays true.
	 * A node without a log of its own needs at least one answer.
	 */
	isComplete(options: {revision: number; hasOwnLog: boolean}, now: Millis): boolean {
		this.#completed ||= this.#startedAt !== undefined && this.#checkComplete(options, now);

		return this.#completed;
	}

	#checkComplete({revision, hasOwnLog}: {revision: number; hasOwnLog: boolean}, now: Millis): boolean {
		const timeIsUp = now - this.#startedAt! >= startupTimeoutMs;
		const waiting = this.#unansweredSources().length > 0 && !timeIsUp;
		const answered = this.#answers.size > 0 || (hasOwnLog && (timeIsUp || this.#sources().length === 0));
		const highest = Math.max(0, ...this.#answers.values());
		return !waiting && answered && revision >= highest;
	}

	#unansweredSources(): readonly NodeId[] {
		return this.#sources().slice(0, maxSources).filter(nodeId => !this.#answers.has(nodeId));
	}
}
