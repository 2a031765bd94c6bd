import type {NodeId} from '../ids/node-id.ts';
import type {MemberUpdate} from './member-update.ts';
import type {RegionSummary} from './region-summary.ts';

/** Messages of the membership part between processes. */
export type MembershipMessage =
	| {
		readonly type: 'ping';
		readonly probe: number;
		readonly self: MemberUpdate;
		readonly updates: readonly MemberUpdate[];
		/** Milliseconds since the sums of each other region were made, as the sender knows them. */
		readonly sumAges: Readonly<Record<string, number>>;
	}
	| {
		readonly type: 'ack';
		readonly probe: number;
		readonly self: MemberUpdate;
		readonly updates: readonly MemberUpdate[];
		/** Sums that are newer than those named in the ping. */
		readonly sums?: readonly RegionSummary[];
	}
	/** Asks the receiver to ping `target`. */
	| {readonly type: 'ping-request'; readonly probe: number; readonly target: NodeId}
	/** `target`, pinged by the sender, answered. */
	| {readonly type: 'indirect-ack'; readonly probe: number; readonly target: MemberUpdate}
	| {readonly type: 'gossip'; readonly updates: readonly MemberUpdate[]}
	/** Asks for the whole member list; with `digest`, only if the receiver's differs. */
	| {readonly type: 'sync-request'; readonly nonce: number; readonly digest?: number}
	| {readonly type: 'sync'; readonly nonce: number; readonly updates: readonly MemberUpdate[]}
	/** Asks for updates with the address data of these nodes. */
	| {readonly type: 'info-request'; readonly nodeIds: readonly NodeId[]}
	/** Sums for another region; `sentAt` is the sender's clock. */
	| {readonly type: 'region-sum'; readonly sum: RegionSummary; readonly sentAt: number}
	| {readonly type: 'region-sum-reply'; readonly sum: RegionSummary; readonly sentAt: number};
