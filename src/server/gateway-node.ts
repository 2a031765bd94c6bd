import type {Action} from '../core/actions.ts';
import type {MembersAnswer} from '../core/consensus/members-answer.ts';
import type {EntryListing} from '../core/entries/entry-listing.ts';
import type {CoreEvent} from '../core/events.ts';
import type {Millis} from '../core/ids/millis.ts';
import type {NodeId} from '../core/ids/node-id.ts';
import type {Region} from '../core/ids/region.ts';
import type {Zone} from '../core/ids/zone.ts';
import type {NodeInfo} from '../core/membership/node-info.ts';
import type {NodeStatus} from '../core/node-status.ts';
import type {TargetView} from '../core/targets/target-view.ts';
import type {SettingsTree} from '../core/tree/settings-tree.ts';

/** The interface of the core that the server uses. */
export interface GatewayNode {
	readonly tree: SettingsTree;
	step(event: CoreEvent, now: Millis): readonly Action[];
	/** True once settings are in force and the node accepts requests. */
	ready(now: Millis): boolean;
	/** Number of requests without a final answer. */
	inFlight(): number;
	status(now: Millis): NodeStatus;
	targets(now: Millis): readonly TargetView[];
	entries(query: {zone?: Zone; path?: string; residency?: readonly Region[]}, now: Millis): readonly EntryListing[];
	/** Starts a membership change of the settings log if this node is its leader, and the members are still those of the log index `after`, if given; otherwise refuses. */
	changeMembers(change: {type: 'add' | 'remove'; nodeId: NodeId}, after: number | undefined, now: Millis): MembersAnswer;
	/** Accepts the loss of claims, by decision of an operator on the keepers of an epoch, or of the current one; false if this node does not wait for that decision. */
	acceptLoss(epoch: number | undefined, now: Millis): boolean;
	info(nodeId: NodeId): NodeInfo | undefined;
}
