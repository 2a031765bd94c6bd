import {jsonSize} from '../common/json-size.ts';
import type {ChangeId} from '../ids/change-id.ts';
import type {ChangeOutcome} from './change-outcome.ts';

/** Largest number of outcomes kept. */
const maxOutcomes = 8000;
/** Largest total size of the outcomes kept, in bytes of JSON: one that names problems is far larger than the others. */
const maxBytes = 8_388_608;

type RecordedOutcome = {readonly digest: string; readonly outcome: ChangeOutcome};

/** Outcomes of the newest changes by id, so that a resent change gets the same answer. */
export class ChangeOutcomeStore {
	/** In order of insertion, oldest first. */
	#outcomes = new Map<ChangeId, RecordedOutcome>();
	#bytes = 0;

	/** The outcome of a change; `id-reused` if its id is known with other content, undefined if it is not known. */
	findOutcome(changeId: ChangeId, digest: string): ChangeOutcome | undefined {
		const recorded = this.#outcomes.get(changeId);
		if (recorded === undefined) {
			return undefined;
		}

		return recorded.digest === digest ? recorded.outcome : {type: 'id-reused'};
	}

	record(changeId: ChangeId, digest: string, outcome: ChangeOutcome): void {
		this.#forget(changeId);
		const recorded = {digest, outcome};
		this.#outcomes.set(changeId, recorded);
		this.#bytes += jsonSize(recorded);
		while (this.#outcomes.size > maxOutcomes || (this.#bytes > maxBytes && this.#outcomes.size > 1)) {
			const [oldest] = this.#outcomes.keys();
			this.#forget(oldest!);
		}
	}

	/** Id of the change that was accepted as this revision, if its outcome is still kept. */
	findAccepted(revision: number): ChangeId | undefined {
		for (const [changeId, {outcome}] of this.#outcomes) {
			if (outcome.type === 'accepted' && outcome.revision === revision) {
				return changeId;
			}
		}

		return undefined;
	}

	snapshot(): ReadonlyArray<readonly [ChangeId, RecordedOutcome]> {
		return [...this.#outcomes];
	}

	restore(entries: ReadonlyArray<readonly [ChangeId, RecordedOutcome]>): void {
		this.#outcomes = new Map(entries);
		this.#bytes = entries.reduce((sum, [, recorded]) => sum + jsonSize(recorded), 0);
	}

	#forget(changeId: ChangeId): void {
		const recorded = this.#outcomes.get(changeId);
		if (recorded !== undefined) {
			this.#outcomes.delete(changeId);
			this.#bytes -= jsonSize(recorded);
		}
	}
}
