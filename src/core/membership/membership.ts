import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {ServiceSummary} from '../targets/service-summary.ts';
import type {MembershipMessage} from './membership-message.ts';
import type {NodeInfo} from './node-info.ts';
import type {NodeView} from './node-view.ts';
import type {RegionView} from './region-view.ts';

/** The nodes and regions of the installation and their state, as seen by this node. */
export interface Membership {
	/** Number of detected pauses of this process; a decision made under a lower count is stale. */
	readonly pauses: number;
	handle(from: NodeId, message: MembershipMessage, now: Millis): void;
	/** Sends probes and region summaries and expires silent members; called about every 100 ms. */
	tick(now: Millis): void;
	/** Sets the state of this node that its own record and its region's summary carry. */
	report(state: {revision: number; load: number; draining: boolean; services: readonly ServiceSummary[]}): void;
	/** Known nodes of this node's region, this node first. */
	nodes(): readonly NodeView[];
	node(nodeId: NodeId): NodeView | undefined;
	/** Address data of any known node, also in other regions. */
	info(nodeId: NodeId): NodeInfo | undefined;
	/** All known regions, this node's own first. */
	regions(now: Millis): readonly RegionView[];
	region(region: Region, now: Millis): RegionView | undefined;
	/** Nodes known to have a settings revision above `revision`, highest first. */
	nodesAheadOf(revision: number): readonly NodeId[];
	/**
	 * False from the end of a pause of this process until a peer replies or the wait for a reply times out:
	 * until then this node's view of others is stale.
	 */
	fresh(now: Millis): boolean;
}
