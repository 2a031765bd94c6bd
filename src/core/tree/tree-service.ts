import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Change} from './change.ts';
import type {ChangeOutcome} from './change-outcome.ts';
import type {SettingsTree} from './settings-tree.ts';
import type {TreeMessage} from './tree-message.ts';

/**
 * The tree part of every node: keeps the settings in force, catches up from whoever is ahead,
 * and takes operators' changes to the leader, resending them until there is an outcome.
 */
export interface TreeService {
	readonly tree: SettingsTree;
	/** False until the start-up round of questions to several sources ended: the node does not serve before. */
	ready(now: Millis): boolean;
	/** Starts a change; its outcome is returned by a later `takeOutcomes`, `no-quorum` after a time-out. */
	submit(change: Change, now: Millis): void;
	takeOutcomes(): ReadonlyArray<{changeId: string; outcome: ChangeOutcome}>;
	handle(from: NodeId, message: TreeMessage, now: Millis): void;
	tick(now: Millis): void;
	/** Peers with a higher revision, best first; pulls from them. */
	catchUpFrom(ahead: readonly NodeId[], now: Millis): void;
}
