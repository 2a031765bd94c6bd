import {hash32} from '../common/hash32.ts';
import type {Millis} from '../ids/millis.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Announcement} from './announcement.ts';
import {CachedBlockEstimate} from './cached-block-estimate.ts';
import {InFlightHistory} from './in-flight-history.ts';
import {Reachability} from './reachability.ts';
import {TargetSuspension} from './target-suspension.ts';
import {SpeedEstimate} from './speed-estimate.ts';
import {targetHandle} from './target-handle.ts';
import type {TargetView} from './target-view.ts';

/** Limit of requests in flight at a target before its first complete answer; each complete answer raises it by one (slow start). */
const initialLimit = 2;

/** Time without a completed request, in units of the expected answer time, above which a target counts as slower than estimated. */
const overdueFactor = 1;

/** State that this node keeps for one target; the router reads it as a `TargetView`. */
export class TargetRecord implements TargetView {
	readonly targetId: TargetId;
	/** Hash of the target id, for rendezvous hashing. */
	readonly placementHash: number;
	announcement: Announcement;
	handle: number;
	/** When the target's last announcement was received from the target itself, by this node or by the entry that relayed it. */
	heardAt: Millis;
	/** `heardAt` on the table's clock that stops with the process. */
	awakeHeardAt: Millis;
	loadAt: Millis;
	/** True if the last announcement came from the target itself and not through another entry. */
	direct: boolean;
	ejected = false;
	/** True once the end of the lease has been reported. */
	leaseEnded = false;
	/** Entries of the region that share the target's capacity, this node included. */
	entryCount = 1;
	readonly speedEstimate = new SpeedEstimate();
	readonly cachedBlockEstimate = new CachedBlockEstimate();
	readonly inFlightHistory = new InFlightHistory();
	/** Whether this entry reaches the present incarnation. */
	reachability = new Reachability();
	/** Why the present incarnation gets no new requests, and until when. */
	suspension = new TargetSuspension();
	/** Time of the newest bytes from the target, or of the start of the first request in flight there. */
	lastSignAt = 0 as Millis;
	/** Factor by which the target seems slower than estimated, from overdue answers; at least 1. */
	#slowdown = 1;
	/** Number of complete answers of earlier incarnations. */
	#earlierAnswers = 0;

	constructor(announcement: Announcement, heardAt: Millis, direct: boolean, awakeHeardAt = heardAt) {
		this.targetId = announcement.targetId;
		this.placementHash = hash32(announcement.targetId);
		this.announcement = announcement;
		this.handle = targetHandle(announcement.targetId, announcement.incarnation);
		this.heardAt = heardAt;
		this.awakeHeardAt = awakeHeardAt;
		this.loadAt = loadTime(announcement, heardAt);
		this.direct = direct;
		this.#recordLeaving();
	}

	get inFlight(): number {
		return this.inFlightHistory.inFlight;
	}

	get inFlightTokens(): number {
		return this.inFlightHistory.tokens;
	}

	get meanOutputTokens(): number | undefined {
		return this.inFlightHistory.meanOutputTokens;
	}

	get sentSinceReport(): number {
		return this.inFlightHistory.startedSince(this.loadAt);
	}

	get othersInFlight(): number {
		const {running, queued} = this.announcement.load;
		return Math.max(0, running + queued - this.inFlightHistory.inFlightAt(this.loadAt));
	}

	get limit(): number {
		const {capacity} = this.announcement;
		const fairShare = this.entryCount > capacity ? 0 : Math.ceil(capacity / this.entryCount);
		const left = Math.max(fairShare, capacity - this.othersInFlight);
		return Math.min(left, initialLimit + this.#answers());
	}

	get tokenMs(): number | undefined {
		const {tokenMs} = this.speedEstimate;
		return tokenMs === undefined ? undefined : tokenMs * this.#slowdown;
	}

	get startMs(): number | undefined {
		return this.speedEstimate.startMs;
	}

	get callMs(): number | undefined {
		return this.speedEstimate.callMs;
	}

	/** Share of the target's capacity in use, from 0 to 1. */
	get utilization(): number {
		return Math.min(1, (this.inFlight + this.othersInFlight) / Math.max(1, this.announcement.capacity));
	}

	cachedBlocks(prefixBlocks: readonly string[]): number {
		return this.cachedBlockEstimate.countLeading(prefixBlocks);
	}

	/** Applies a newer announcement. A restart clears the cached-block estimate and starts the limit from `initialLimit` again. */
	update(announcement: Announcement, heardAt: Millis, direct: boolean, awakeHeardAt = heardAt): void {
		if (announcement.incarnation !== this.announcement.incarnation) {
			this.cachedBlockEstimate.clear();
			this.suspension = new TargetSuspension();
			this.#earlierAnswers = this.speedEstimate.answers;
			this.handle = targetHandle(announcement.targetId, announcement.incarnation);
		}

		this.announcement = announcement;
		this.heardAt = heardAt;
		this.awakeHeardAt = awakeHeardAt;
		this.loadAt = loadTime(announcement, heardAt);
		this.direct = direct;
		this.#recordLeaving();
		this.leaseEnded = false;
	}

	/** Sets the slowdown from the time without a completed request, relative to the expected answer time. */
	updateSlowdown(now: Millis): void {
		const {tokenMs} = this.speedEstimate;
		if (tokenMs === undefined || this.inFlight === 0) {
			this.#slowdown = 1;
			return;
		}

		const answerMs = (this.speedEstimate.startMs ?? 0) + (this.inFlightTokens / this.inFlight * tokenMs * (1 + this.utilization));
		const overdue = (now - this.inFlightHistory.noCompletionSince) / (overdueFactor * answerMs);
		this.#slowdown = Math.max(1, overdue);
	}

	#recordLeaving(): void {
		if (this.announcement.state === 'leaving') {
			this.suspension.leave();
		}
	}

	/** Number of complete answers of this incarnation. */
	#answers(): number {
		return this.speedEstimate.answers - this.#earlierAnswers;
	}
}

function loadTime(announcement: Announcement, heardAt: Millis): Millis {
	return heardAt - announcement.load.ageMs as Millis;
}
