import type {RoutesOutcome} from '../routes/routes-outcome.ts';
import type {ChangeOutcome} from './change-outcome.ts';

/** Result of applying one command of the replicated log. */
export type CommandOutcome =
	| ChangeOutcome
	| RoutesOutcome
	/** `installed` is false if the epoch does not directly follow the region's current one. */
	| {readonly type: 'keepers'; readonly installed: boolean}
	/** `fencing`, the index of the `lead` command, is the fencing number of the orders issued by that leader. */
	| {readonly type: 'lead'; readonly fencing: number}
	| {readonly type: 'weight-budget'};
