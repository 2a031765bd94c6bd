import type {RoutesOutcome} from '../routes/routes-outcome.ts';
import type {ChangeOutcome} from './change-outcome.ts';

/** Result of one command of the replicated log. */
export type CommandOutcome =
	| ChangeOutcome
	| RoutesOutcome
	/** `false` if the epoch did not follow the region's current one. */
	| {readonly type: 'keepers'; readonly installed: boolean}
	/** The index of the `lead` command is the fencing number of the orders given under it. */
	| {readonly type: 'lead'; readonly fencing: number}
	| {readonly type: 'weight-budget'};
