import type {NodeId} from '../ids/node-id.ts';
import type {MemberUpdate} from './member-update.ts';
import type {RegionSummary} from './region-summary.ts';

/** Membership messages between processes. */
export type MembershipMessage =
	| {
		readonly type: 'ping';
		readonly probe: number;
		readonly self: MemberUpdate;
		readonly updates: readonly MemberUpdate[];
		/** Age of the sender's newest summary of each other region, in milliseconds. */
		readonly sumAges: Readonly<Record<string, number>>;
	}
	| {
		readonly type: 'ack';
		readonly probe: number;
		readonly self: MemberUpdate;
		readonly updates: readonly MemberUpdate[];
		/** Region summaries that are newer than the ages in the ping. */
		readonly sums?: readonly RegionSummary[];
	}
	/** Asks the receiver to ping `target`. */
	| {readonly type: 'ping-request'; readonly probe: number; readonly target: NodeId}
	/** Reports that `target` replied to the sender's ping. */
	| {readonly type: 'indirect-ack'; readonly probe: number; readonly target: MemberUpdate}
	| {readonly type: 'gossip'; readonly updates: readonly MemberUpdate[]}
	/** Requests the full member list; with `digest`, only if the receiver's digest differs. */
	| {readonly type: 'sync-request'; readonly nonce: number; readonly digest?: number}
	/** The sender's member list, in reply to a `sync-request`. */
	| {readonly type: 'sync'; readonly nonce: number; readonly updates: readonly MemberUpdate[]}
	/** Requests the records of these nodes with their address data. */
	| {readonly type: 'info-request'; readonly nodeIds: readonly NodeId[]}
	/** The summary of the sender's region for another region; `sentAt` is on the clock of the node that sent the first message and is echoed in the reply. */
	| {readonly type: 'region-sum'; readonly sum: RegionSummary; readonly sentAt: number}
	| {readonly type: 'region-sum-reply'; readonly sum: RegionSummary; readonly sentAt: number};
