import type {ChangeId} from '../ids/change-id.ts';
import type {ChangeOutcome} from './change-outcome.ts';

/** Number of newest change ids whose outcome is remembered. */
const maxRemembered = 8000;

type Remembered = {readonly digest: string; readonly outcome: ChangeOutcome};

/** Outcomes of the newest changes by id, so that a resent change gets the same answer. */
export class ChangeMemory {
	/** In order of insertion: the oldest first. */
	#known = new Map<ChangeId, Remembered>();

	/** The outcome of the same change, `id-reused` for other content under its id, or undefined. */
	recall(changeId: ChangeId, digest: string): ChangeOutcome | undefined {
		const remembered = this.#known.get(changeId);
		if (remembered === undefined) {
			return undefined;
		}

		return remembered.digest === digest ? remembered.outcome : {type: 'id-reused'};
	}

	remember(changeId: ChangeId, digest: string, outcome: ChangeOutcome): void {
		this.#known.set(changeId, {digest, outcome});
		if (this.#known.size > maxRemembered) {
			const [oldest] = this.#known.keys();
			this.#known.delete(oldest!);
		}
	}

	/** The remembered change that was accepted as this revision. */
	acceptedAs(revision: number): ChangeId | undefined {
		for (const [changeId, {outcome}] of this.#known) {
			if (outcome.type === 'accepted' && outcome.revision === revision) {
				return changeId;
			}
		}

		return undefined;
	}

	snapshot(): ReadonlyArray<readonly [ChangeId, Remembered]> {
		return [...this.#known];
	}

	restore(entries: ReadonlyArray<readonly [ChangeId, Remembered]>): void {
		this.#known = new Map(entries);
	}
}
