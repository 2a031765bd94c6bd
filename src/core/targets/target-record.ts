import {hash32} from '../common/hash32.ts';
import type {Millis} from '../ids/millis.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Announcement} from './announcement.ts';
import {CacheHints} from './cache-hints.ts';
import {InFlightHistory} from './in-flight-history.ts';
import {SpeedEstimate} from './speed-estimate.ts';
import {targetHandle} from './target-handle.ts';
import type {TargetView} from './target-view.ts';

/** Requests in flight allowed at a target that gave no answer yet; each whole answer allows one more. */
const initialLimit = 2;

/** Time without any answer, relative to the time of one answer, from which a target seems to be slower than learnt. */
const overdueFactor = 1;

/** What this node keeps of one target; read by the router as a `TargetView`. */
export class TargetRecord implements TargetView {
	readonly targetId: TargetId;
	/** Hash of the target's id for rendezvous hashing. */
	readonly placementHash: number;
	announcement: Announcement;
	handle: number;
	/** When the target itself was last heard, by this node or by the one that relayed it. */
	heardAt: Millis;
	loadAt: Millis;
	/** True if the last news came from the target itself and not through another entry. */
	direct: boolean;
	ejected = false;
	/** True once the end of the lease was reported. */
	leaseEnded = false;
	/** Entries of the region that share the target's capacity, this node included. */
	entryCount = 1;
	readonly speedEstimate = new SpeedEstimate();
	readonly cacheHints = new CacheHints();
	readonly inFlightHistory = new InFlightHistory();
	/** How much slower than learnt the target seems, from answers that are overdue. */
	#slowdown = 1;
	/** Answers of earlier incarnations. */
	#earlierAnswers = 0;

	constructor(announcement: Announcement, heardAt: Millis, direct: boolean) {
		this.targetId = announcement.targetId;
		this.placementHash = hash32(announcement.targetId);
		this.announcement = announcement;
		this.handle = targetHandle(announcement.targetId, announcement.incarnation);
		this.heardAt = heardAt;
		this.loadAt = loadTime(announcement, heardAt);
		this.direct = direct;
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
		return this.cacheHints.countLeading(prefixBlocks);
	}

	/** Takes a newer announcement; what was believed of the cache does not outlive a restart. */
	update(announcement: Announcement, heardAt: Millis, direct: boolean): void {
		if (announcement.incarnation !== this.announcement.incarnation) {
			this.cacheHints.clear();
			this.#earlierAnswers = this.speedEstimate.answers;
			this.handle = targetHandle(announcement.targetId, announcement.incarnation);
		}

		this.announcement = announcement;
		this.heardAt = heardAt;
		this.loadAt = loadTime(announcement, heardAt);
		this.direct = direct;
		this.leaseEnded = false;
	}

	/** Compares the time without an answer with the learnt time between answers. */
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

	/** Whole answers of this incarnation. */
	#answers(): number {
		return this.speedEstimate.answers - this.#earlierAnswers;
	}
}

function loadTime(announcement: Announcement, heardAt: Millis): Millis {
	return heardAt - announcement.load.ageMs as Millis;
}
