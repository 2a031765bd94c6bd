import type {Action} from '../core/actions.ts';
import type {EntryListing} from '../core/entries/entry-listing.ts';
import type {CoreEvent} from '../core/events.ts';
import type {Millis} from '../core/ids/millis.ts';
import type {NodeId} from '../core/ids/node-id.ts';
import type {Zone} from '../core/ids/zone.ts';
import type {NodeInfo} from '../core/membership/node-info.ts';
import type {NodeStatus} from '../core/node-status.ts';
import type {TargetView} from '../core/targets/target-view.ts';
import type {SettingsTree} from '../core/tree/settings-tree.ts';

/** The core as the server sees it. */
export interface GatewayNode {
	readonly tree: SettingsTree;
	step(event: CoreEvent, now: Millis): readonly Action[];
	/** True once settings are in force and the node may take requests. */
	ready(now: Millis): boolean;
	/** Requests that have no final answer yet. */
	inFlight(): number;
	status(now: Millis): NodeStatus;
	targets(now: Millis): readonly TargetView[];
	entries(query: {zone?: Zone; path?: string}, now: Millis): readonly EntryListing[];
	/** Starts a membership change of the settings log if this node leads it; else names the leader's address. */
	changeMembers(change: {type: 'add' | 'remove'; nodeId: NodeId}, now: Millis): {type: 'started'} | {type: 'refused'; leader?: string};
	/** Goes on without lost claims, by an operator's decision; false if this node does not wait for it. */
	acceptLoss(now: Millis): boolean;
	info(nodeId: NodeId): NodeInfo | undefined;
}
