import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {ServiceSummary} from '../targets/service-summary.ts';
import type {MembershipMessage} from './membership-message.ts';
import type {NodeInfo} from './node-info.ts';
import type {NodeView} from './node-view.ts';
import type {RegionView} from './region-view.ts';

/** Which nodes and regions there are and how they are, seen from this node. */
export interface Membership {
	/** Times that this process was found to have been paused; anything decided under a lower count is stale. */
	readonly pauses: number;
	handle(from: NodeId, message: MembershipMessage, now: Millis): void;
	/** Sends heartbeats and expires what was not heard; called about every 100 ms. */
	tick(now: Millis): void;
	/** State of this node that heartbeats carry. */
	report(state: {revision: number; load: number; draining: boolean; services: readonly ServiceSummary[]}): void;
	/** Nodes of this node's own region that are known, this node included. */
	nodes(): readonly NodeView[];
	node(nodeId: NodeId): NodeView | undefined;
	/** Address data of any node heard of, also in other regions. */
	info(nodeId: NodeId): NodeInfo | undefined;
	/** All known regions, this node's own first. */
	regions(now: Millis): readonly RegionView[];
	region(region: Region, now: Millis): RegionView | undefined;
	/** Nodes known to have a higher settings revision than this one, best first. */
	nodesAheadOf(revision: number): readonly NodeId[];
	/**
	 * False from the end of a pause of this process until a peer answered again, or the wait for one ended:
	 * what this node believes of others is stale until then.
	 */
	fresh(now: Millis): boolean;
}
