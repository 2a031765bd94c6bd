import type {Region} from '../ids/region.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Zone} from '../ids/zone.ts';
import type {EntryStatus} from '../registry/entry-status.ts';
import type {ListedTarget} from '../registry/listed-target.ts';
import type {RegionLoad} from '../registry/region-load.ts';
import type {TargetReport} from '../registry/target-report.ts';
import type {RoutesCommand} from '../routes/routes-command.ts';
import type {RoutesOutcome} from '../routes/routes-outcome.ts';
import type {StoredDocument} from '../routes/stored-document.ts';
import type {ControlPeer} from './control-peer.ts';

/** An entry's place in the registry feed of one control node: `epoch` names the node's run. */
type FeedPosition = {readonly epoch: string; readonly revision: number};

/** Messages between control nodes, and between them and entries. */
export type ControlMessage =
	/** An entry's status; asks to be kept up to date from a position on. */
	| {readonly type: 'follow'; readonly status: EntryStatus; readonly have?: FeedPosition; readonly stateIndex: number}
	/** What changed for an entry; the first one, and any after a gap, is whole. */
	| {
		readonly type: 'feed';
		readonly epoch: string;
		/** Registry revision that the entry had, and has now; `from` is -1 for a whole list. */
		readonly from: number;
		readonly to: number;
		readonly targets: readonly ListedTarget[];
		/** Newest report number of each target of the entry's region. */
		readonly signs: ReadonlyArray<readonly [TargetId, number]>;
		/** True if the node is in touch with the replicated log's leader. */
		readonly current: boolean;
		readonly control: readonly ControlPeer[];
		/** Log index of the state below; the state is left out if the entry has it. */
		readonly stateIndex: number;
		readonly state?: {readonly document?: StoredDocument; readonly evacuated: readonly Zone[]};
		readonly regions: readonly RegionLoad[];
	}
	/** News between control nodes. */
	| {
		readonly type: 'gossip';
		readonly epoch: string;
		readonly region: Region;
		readonly operatorAddress: string;
		/** Registry revisions that this message covers; `from` is 0 for a whole list. */
		readonly from: number;
		readonly to: number;
		readonly reports: ReadonlyArray<{readonly report: TargetReport; readonly ageMs: number}>;
		/** Signs of life: target, its birth, number and age in milliseconds. */
		readonly signs: ReadonlyArray<readonly [TargetId, number, number, number]>;
		readonly entries: ReadonlyArray<{readonly status: EntryStatus; readonly ageMs: number}>;
		/** How far the sender has followed the receiver's own registry. */
		readonly have?: FeedPosition;
		/** Targets that the sender heard a sign of but has no report for. */
		readonly missing: readonly TargetId[];
	}
	| {readonly type: 'propose'; readonly callId: string; readonly command: RoutesCommand}
	| {readonly type: 'proposed'; readonly callId: string; readonly outcome: RoutesOutcome | undefined}
	/** Asks the leader for the log index that a read must reflect. */
	| {readonly type: 'confirm'; readonly callId: string}
	| {readonly type: 'confirmed'; readonly callId: string; readonly index: number};
