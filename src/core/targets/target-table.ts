import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Announcement} from './announcement.ts';
import type {AttemptOutcome} from './attempt-outcome.ts';
import type {ServiceSummary} from './service-summary.ts';
import type {TargetsMessage} from './targets-message.ts';
import type {TargetNotice} from './target-notice.ts';
import type {TargetView} from './target-view.ts';

/** The targets of this node's region: announcements with a lease, gossiped between the region's entries. */
export interface TargetTable {
	/** Handles an announcement from the target itself and gossips it to the region's other entries; `stale` if a later one is known. */
	announce(announcement: Announcement, now: Millis): 'accepted' | 'stale';
	handle(from: NodeId, message: TargetsMessage, now: Millis): void;
	tick(now: Millis): void;
	/** Serving targets of a service with a valid lease; with `model`, only those that have it loaded. */
	serving(service: {firm: string; deployment: string; service: string}, model: string | undefined, now: Millis): readonly TargetView[];
	get(targetId: TargetId, now: Millis): TargetView | undefined;
	/** All targets with a valid lease, including leaving ones. */
	all(now: Millis): readonly TargetView[];
	/** Records that an attempt starts at the target. */
	recordStart(targetId: TargetId, work: {promptTokens: number; outputTokens: number; prefixBlocks: readonly string[]}, now: Millis): void;
	/** Updates the speed estimate and outlier ejection from the outcome of an attempt. */
	recordOutcome(targetId: TargetId, outcome: AttemptOutcome, now: Millis): void;
	/** Records that a connection to the target could be opened, or could not. */
	recordConnection(targetId: TargetId, reachable: boolean, now: Millis): void;
	/** Records what an incarnation of the target said, in an answer to a request, of the requests that it wants. */
	recordNotice(targetId: TargetId, said: {incarnation: number; notice: TargetNotice; request: RequestId}, now: Millis): void;
	/** Records that bytes of an answer arrived from the target. */
	recordSign(targetId: TargetId, now: Millis): void;
	/** Summaries of this region's services, which its region summary carries. */
	summaries(now: Millis): readonly ServiceSummary[];
	/** Returns the targets whose lease ended, or whose incarnation changed, since the last call. */
	takeLost(): readonly TargetId[];
}
