import type {ChangeId} from '../ids/change-id.ts';
import type {ChangeOutcome} from './change-outcome.ts';

/** Number of newest change ids whose outcome is remembered. */
const maxOutcomes = 8000;

type RecordedOutcome = {readonly digest: string; readonly outcome: ChangeOutcome};

/** Outcomes of the newest changes by id, so that a resent change gets the same answer. */
export class ChangeOutcomeStore {
	/** In order of insertion: the oldest first. */
	#outcomes = new Map<ChangeId, RecordedOutcome>();

	/** The outcome of the same change, `id-reused` for other content under its id, or undefined. */
	findOutcome(changeId: ChangeId, digest: string): ChangeOutcome | undefined {
		const recorded = this.#outcomes.get(changeId);
		if (recorded === undefined) {
			return undefined;
		}

		return recorded.digest === digest ? recorded.outcome : {type: 'id-reused'};
	}

	record(changeId: ChangeId, digest: string, outcome: ChangeOutcome): void {
		this.#outcomes.set(changeId, {digest, outcome});
		if (this.#outcomes.size > maxOutcomes) {
			const [oldest] = this.#outcomes.keys();
			this.#outcomes.delete(oldest!);
		}
	}

	/** The remembered change that was accepted as this revision. */
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
	}
}
