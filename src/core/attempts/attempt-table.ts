import type {AttemptId} from '../ids/attempt-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {AttemptState} from './attempt-state.ts';

/** Attempts in flight, by id and by target. An id that is not in the table belongs to an attempt that has ended. */
export class AttemptTable {
	readonly #attempts = new Map<AttemptId, AttemptState>();
	readonly #byTarget = new Map<TargetId, Set<AttemptId>>();

	add(attempt: AttemptState): void {
		this.#attempts.set(attempt.attemptId, attempt);
		if (attempt.destination.type === 'target') {
			const ids = this.#byTarget.get(attempt.destination.targetId) ?? new Set();
			ids.add(attempt.attemptId);
			this.#byTarget.set(attempt.destination.targetId, ids);
		}
	}

	get(attemptId: AttemptId): AttemptState | undefined {
		return this.#attempts.get(attemptId);
	}

	remove(attempt: AttemptState): void {
		this.#attempts.delete(attempt.attemptId);
		if (attempt.destination.type !== 'target') {
			return;
		}

		const ids = this.#byTarget.get(attempt.destination.targetId);
		ids?.delete(attempt.attemptId);
		if (ids?.size === 0) {
			this.#byTarget.delete(attempt.destination.targetId);
		}
	}

	/** Attempts in flight on a target. */
	attemptsOnTarget(targetId: TargetId): readonly AttemptState[] {
		const ids = this.#byTarget.get(targetId) ?? [];
		return [...ids].map(id => this.#attempts.get(id)!);
	}

	/** Every attempt, oldest first. */
	all(): readonly AttemptState[] {
		return [...this.#attempts.values()];
	}
}
