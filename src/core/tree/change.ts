import type {ChangeId} from '../ids/change-id.ts';
import type {TreeOperation} from './tree-operation.ts';

/** An operator's change to the settings tree. */
export type Change = {
	readonly changeId: ChangeId;
	readonly operator: string;
	/** Must be the next revision; of two valid changes with the same number exactly one is accepted. */
	readonly number: number;
	readonly operations: readonly TreeOperation[];
	/** Wall-clock time at which it was submitted, in milliseconds; shown in the history. */
	readonly submittedAt: number;
};
