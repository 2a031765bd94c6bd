import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Change} from './change.ts';
import type {ChangeOutcome} from './change-outcome.ts';
import type {SettingsTree} from './settings-tree.ts';
import type {TreeMessage} from './tree-message.ts';

/**
 * Settings service of every node: holds the settings in force, catches up from nodes that are ahead,
 * and sends operators' changes to the leader, resending them until there is an outcome.
 */
export interface TreeService {
	readonly tree: SettingsTree;
	/** False until the queries to several sources at start are complete: the node does not serve before. */
	ready(now: Millis): boolean;
	/** Submits a change; its outcome is returned by a later `takeOutcomes`, `no-quorum` after a timeout. */
	submit(change: Change, now: Millis): void;
	takeOutcomes(): ReadonlyArray<{changeId: string; outcome: ChangeOutcome}>;
	handle(from: NodeId, message: TreeMessage, now: Millis): void;
	tick(now: Millis): void;
	/** Pulls from peers that have a higher revision, given in order of preference. */
	catchUpFrom(ahead: readonly NodeId[], now: Millis): void;
}
