import type {Consensus} from './consensus.ts';
import type {LogSnapshot} from './log-snapshot.ts';
import type {MemberStorage} from './member-storage.ts';
import type {ReplicatedState} from './replicated-state.ts';

type Committed<Outcome> = ReturnType<Consensus<Outcome>['takeCommitted']>;

/** Applies committed entries to the replicated state, and has it written as a snapshot now and then. */
export class AppliedLog<Outcome> {
	readonly #storage: MemberStorage;
	readonly #state: ReplicatedState<Outcome>;
	#commit = 0;
	#committed: Array<Committed<Outcome>[number]> = [];

	constructor(storage: MemberStorage, state: ReplicatedState<Outcome>) {
		this.#storage = storage;
		this.#state = state;
		const snapshot = storage.takeLoadedSnapshot();
		if (snapshot !== undefined) {
			state.restore(snapshot.state);
			this.#commit = snapshot.index;
		}

		this.#apply(storage.recordedCommit);
		this.#committed = [];
	}

	/** Index of the newest entry that is committed and applied. */
	get commit(): number {
		return this.#commit;
	}

	/** Applies entries up to an index that is committed. */
	advance(index: number): void {
		if (this.#apply(index)) {
			this.#storage.compact(this.#commit, this.#state.snapshot());
		}
	}

	/** Replaces the state by a leader's snapshot that is ahead of it. */
	install(snapshot: LogSnapshot): void {
		this.#storage.install(snapshot);
		this.#state.restore(snapshot.state);
		this.#commit = snapshot.index;
	}

	/** The state as it is, for a member that lags. */
	snapshot(): LogSnapshot {
		return {
			index: this.#commit,
			term: this.#storage.log.term(this.#commit)!,
			configuration: this.#storage.configurationAt(this.#commit)!,
			state: this.#state.snapshot(),
		};
	}

	take(): Committed<Outcome> {
		const committed = this.#committed;
		this.#committed = [];
		return committed;
	}

	/** Returns whether a snapshot is due. */
	#apply(until: number): boolean {
		let due = false;
		while (this.#commit < until) {
			const entry = this.#storage.log.at(this.#commit + 1);
			if (entry === undefined) {
				break;
			}

			this.#commit = entry.index;
			due = this.#storage.applied(entry) || due;
			if (entry.content.type === 'command') {
				const {command} = entry.content;
				const outcome = this.#state.apply(entry.index, command);
				this.#committed.push({
					index: entry.index, term: entry.term, command, outcome,
				});
			}
		}

		return due;
	}
}
