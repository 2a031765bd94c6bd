import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Announcement} from './announcement.ts';
import type {AttemptOutcome} from './attempt-outcome.ts';
import type {ServiceSummary} from './service-summary.ts';
import type {TargetsMessage} from './targets-message.ts';
import type {TargetView} from './target-view.ts';

/** The targets of this node's region: announcements under a lease, spread between entries of the region. */
export interface TargetTable {
	/** Takes an announcement from a target itself; spreads it to the region's other entries. */
	announce(announcement: Announcement, now: Millis): 'accepted' | 'stale';
	handle(from: NodeId, message: TargetsMessage, now: Millis): void;
	tick(now: Millis): void;
	/** Serving targets of a service with a valid lease; with `model`, those that have it loaded. */
	serving(service: {firm: string; deployment: string; service: string}, model: string | undefined, now: Millis): readonly TargetView[];
	get(targetId: TargetId, now: Millis): TargetView | undefined;
	/** Every target with a valid lease, leaving ones included. */
	all(now: Millis): readonly TargetView[];
	/** Notes that an attempt starts there. */
	recordStart(targetId: TargetId, work: {promptTokens: number; outputTokens: number; prefixBlocks: readonly string[]}, now: Millis): void;
	/** Notes how the attempt went: speed is learnt, outliers are ejected. */
	recordOutcome(targetId: TargetId, outcome: AttemptOutcome, now: Millis): void;
	/** Sums of this region for heartbeats. */
	summaries(now: Millis): readonly ServiceSummary[];
	/** Targets whose lease ended, or whose incarnation changed, since the last call. */
	takeLost(): readonly TargetId[];
}
