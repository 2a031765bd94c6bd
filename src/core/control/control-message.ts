import type {CallerKey} from '../ids/caller-key.ts';
import type {CrashId} from '../ids/crash-id.ts';
import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {RequestTrait} from '../ids/request-trait.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {SoftwareVersion} from '../ids/software-version.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Zone} from '../ids/zone.ts';
import type {QuotaFeed} from '../organisations/quota/quota-feed.ts';
import type {EntryStatus} from '../registry/entry-status.ts';
import type {ListedTarget} from '../registry/listed-target.ts';
import type {RegionLoad} from '../registry/region-load.ts';
import type {TargetReport} from '../registry/target-report.ts';
import type {CrashReport} from '../routes/crash-report.ts';
import type {RoutesCommand} from '../routes/routes-command.ts';
import type {RoutesOutcome} from '../routes/routes-outcome.ts';
import type {StoredDocument} from '../routes/stored-document.ts';
import type {SuspectTrait} from '../routes/suspect-trait.ts';
import type {BegunStream} from './begun-stream.ts';
import type {ControlPeer} from './control-peer.ts';
import type {LogView} from './log-view.ts';

/** A position in one control node's registry; revisions are comparable only within one `epoch`, a run of that node's process. */
type FeedPosition = {readonly epoch: string; readonly revision: number};

/** Messages between control nodes, and between them and entries. */
export type ControlMessage =
	/**
	 * An entry's status, which also subscribes it to feeds; `have`, `stateIndex` and `crashIndex` say what it already has. With `once` it gets one feed and no subscription;
	 * builds that don't know `once` subscribe it. With `ifCurrent` a node that is not current answers nothing; builds that don't know it answer.
	 */
	| {
		readonly type: 'follow';
		readonly status: EntryStatus;
		readonly have?: FeedPosition;
		readonly stateIndex: number;
		readonly crashIndex?: number;
		readonly once?: boolean;
		readonly ifCurrent?: boolean;
		/** Time of the entry's own clock. */
		readonly sentAt?: Millis;
	}
	/** Changes for an entry since the position that it has; the whole list if it has no position in this run of the node. */
	| {
		readonly type: 'feed';
		readonly epoch: string;
		/** Registry revisions before and after this message; `from` is -1 for a whole list. */
		readonly from: number;
		readonly to: number;
		readonly targets: readonly ListedTarget[];
		/** Heartbeats: newest report number of each target of the entry's region. */
		readonly signs: ReadonlyArray<readonly [TargetId, number]>;
		/** True if the node is up to date with the replicated log's leader, or is the leader itself. */
		readonly current: boolean;
		/** Sent by a node that is not current, for entries that start; absent from builds that don't know it. */
		readonly log?: LogView;
		readonly control: readonly ControlPeer[];
		/** Log index of `state`, which is absent if the entry already has it. */
		readonly stateIndex: number;
		readonly state?: {readonly document?: StoredDocument; readonly evacuated: readonly Zone[]};
		readonly regions: readonly RegionLoad[];
		/** Traits blamed for crashes, with the log index of their newest change; absent if the entry already has them. */
		readonly crashes?: {readonly index: number; readonly suspects: readonly SuspectTrait[]};
		/** Use of the quotas at other entries; absent if no entry reports any, from a node that is not current and from builds that don't know it. */
		readonly quotas?: QuotaFeed;
		/** `sentAt` of the entry's last status; absent from builds that don't know it. */
		readonly answers?: Millis;
		/** Set while the node has no memory for where further streams begin: its followers let none begin. Builds that don't know it take no notice. */
		readonly streamsFull?: true;
	}
	/** What a control node heard directly from targets and entries, sent to the other control nodes. */
	| {
		readonly type: 'gossip';
		readonly epoch: string;
		readonly region: Region;
		readonly operatorAddress: string;
		/** Registry revisions covered by `reports`; `from` is 0 for a whole list. */
		readonly from: number;
		readonly to: number;
		readonly reports: ReadonlyArray<{readonly report: TargetReport; readonly ageMs: number}>;
		/** Heartbeats: target, start of its process, report number, and age in milliseconds. */
		readonly signs: ReadonlyArray<readonly [TargetId, number, number, number]>;
		readonly entries: ReadonlyArray<{readonly status: EntryStatus; readonly ageMs: number}>;
		/** Revision of the receiver's own registry up to which the sender has its reports. */
		readonly have?: FeedPosition;
		/** Targets that the sender got a heartbeat for but has no report of. */
		readonly missing: readonly TargetId[];
	}
	/** Streams that began at an entry: the caller's id of the request that brought the first event, the service and the software version of the target. */
	| {readonly type: 'streams-begun'; readonly streams: ReadonlyArray<readonly [callerKey: CallerKey, service: ServiceName, softwareVersion: SoftwareVersion]>}
	/** An entry asks where a stream began that a request takes up; `service` is set if it can be only this one. */
	| {readonly type: 'find-stream'; readonly requestId: RequestId; readonly callerKey: CallerKey; readonly service?: ServiceName}
	/** `stream` is where it began, if the sender was told; otherwise `soleVersion` is set if the sender knows that it can't have begun elsewhere. `versions` are those that the service has or had lately, as far as the sender knows; absent from builds that don't send them. */
	| {readonly type: 'stream-found'; readonly requestId: RequestId; readonly stream?: BegunStream; readonly soleVersion?: BegunStream; readonly versions?: readonly SoftwareVersion[]}
	/**
	 * What an entry saw of crashes: what broke off with targets, and blamed traits with which requests were answered in full since. `servedCrashes`
	 * are the crashes of each of these traits that the entry knew of at the answer; absent from builds that don't name them.
	 */
	| {readonly type: 'crashes-seen'; readonly reports: readonly CrashReport[]; readonly served: readonly RequestTrait[]; readonly servedCrashes?: ReadonlyArray<readonly CrashId[]>}
	/** An entry asks for trial `number` of a contained trait, for one request. */
	| {readonly type: 'trial-wanted'; readonly requestId: RequestId; readonly trait: RequestTrait; readonly number: number}
	| {readonly type: 'trial-answer'; readonly requestId: RequestId; readonly granted: boolean}
	/** Crashes whose reports are committed, or change nothing. */
	| {readonly type: 'crashes-recorded'; readonly crashes: readonly CrashId[]}
	/** Asks the leader to append an operator's command to the replicated log. `opening` is that of an order; absent for other commands and from builds that don't open orders. */
	| {readonly type: 'propose'; readonly callId: string; readonly command: RoutesCommand; readonly opening?: string}
	/** Outcome of the committed command, with its log index; undefined if the receiver of `propose` does not lead. `index` is absent from builds that don't know it. */
	| {readonly type: 'proposed'; readonly callId: string; readonly outcome: RoutesOutcome | undefined; readonly index?: number}
	/**
	 * Asks the leader for the log index that a read must reflect. With `opensOrderMs` it opens an order instead, for which the operator waits that
	 * much longer, in milliseconds; builds that don't know it answer as to a read.
	 */
	| {readonly type: 'confirm'; readonly callId: string; readonly opensOrderMs?: number}
	/** The log index that the receiver must have committed before it answers the read, or at which the order is open; `opening` identifies that of an order, and is absent from builds that open none. */
	| {readonly type: 'confirmed'; readonly callId: string; readonly index: number; readonly opening?: string};
