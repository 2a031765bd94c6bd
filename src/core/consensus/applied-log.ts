import type {Consensus} from './consensus.ts';
import type {LogSnapshot} from './log-snapshot.ts';
import type {MemberStorage} from './member-storage.ts';
import type {StateMachine} from './state-machine.ts';

type Committed<Outcome> = ReturnType<Consensus<Outcome>['takeCommitted']>;

/** Applies committed entries to the state machine and compacts the log into a snapshot when one is due. */
export class AppliedLog<Outcome> {
	readonly #storage: MemberStorage;
	readonly #state: StateMachine<Outcome>;
	#commitIndex = 0;
	#committed: Array<Committed<Outcome>[number]> = [];

	constructor(storage: MemberStorage, state: StateMachine<Outcome>) {
		this.#storage = storage;
		this.#state = state;
		const snapshot = storage.takeLoadedSnapshot();
		if (snapshot !== undefined) {
			state.restore(snapshot.state);
			this.#commitIndex = snapshot.index;
		}

		this.#apply(storage.recordedCommitIndex);
		// Nobody waits for the outcomes of entries that an earlier run committed.
		this.#committed = [];
	}

	/** Index of the newest entry that is committed and applied. */
	get commitIndex(): number {
		return this.#commitIndex;
	}

	/** Applies entries up to a committed index and writes a snapshot if one is due. */
	advance(index: number): void {
		if (this.#apply(index)) {
			this.#storage.compact(this.#commitIndex, this.#state.snapshot());
		}
	}

	/** Writes the whole journal anew; returns the token of the write. */
	rewrite(): number {
		return this.#commitIndex === 0
			? this.#storage.rewriteUnapplied()
			: this.#storage.compact(this.#commitIndex, this.#state.snapshot());
	}

	/** Replaces the state with a leader's snapshot of a later index. */
	install(snapshot: LogSnapshot): void {
		this.#storage.install(snapshot);
		this.#state.restore(snapshot.state);
		this.#commitIndex = snapshot.index;
	}

	/** Snapshot of the current state, for a member that lags behind the entries in memory. */
	snapshot(): LogSnapshot {
		return {
			index: this.#commitIndex,
			term: this.#storage.log.term(this.#commitIndex)!,
			configuration: this.#storage.configurationAt(this.#commitIndex)!,
			state: this.#state.snapshot(),
		};
	}

	takeCommitted(): Committed<Outcome> {
		const committed = this.#committed;
		this.#committed = [];
		return committed;
	}

	/** Applies entries up to `lastIndex`, as far as the log holds them; returns whether a snapshot is due. */
	#apply(lastIndex: number): boolean {
		let snapshotDue = false;
		while (this.#commitIndex < lastIndex) {
			const entry = this.#storage.log.at(this.#commitIndex + 1);
			if (entry === undefined) {
				break;
			}

			this.#commitIndex = entry.index;
			snapshotDue = this.#storage.countApplied(entry) || snapshotDue;
			if (entry.content.type === 'command') {
				const {command} = entry.content;
				const outcome = this.#state.apply(entry.index, command);
				this.#committed.push({
					index: entry.index, term: entry.term, command, outcome,
				});
			}
		}

		return snapshotDue;
	}
}
