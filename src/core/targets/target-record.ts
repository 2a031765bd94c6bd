import {hash32} from '../common/hash32.ts';
import type {Millis} from '../ids/millis.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Announcement} from './announcement.ts';
import {CacheHints} from './cache-hints.ts';
import {InFlightLog} from './in-flight-log.ts';
import {LearntSpeed} from './learnt-speed.ts';
import {targetHandle} from './target-handle.ts';
import type {TargetView} from './target-view.ts';

/** Requests in flight allowed at a target that gave no answer yet; each whole answer allows one more. */
const firstLimit = 2;

/** Time without any answer, relative to the time of one answer, from which a target seems to be slower than learnt. */
const overdueFactor = 1;

/** What this node keeps of one target; read by the router as a `TargetView`. */
export class TargetRecord implements TargetView {
	readonly targetId: TargetId;
	/** Hash of the target's id for rendezvous hashing. */
	readonly placement: number;
	announcement: Announcement;
	handle: number;
	/** When the target itself was last heard, by this node or by the one that relayed it. */
	heardAt: Millis;
	loadAt: Millis;
	/** True if the last news came from the target itself and not through another entry. */
	direct: boolean;
	ejected = false;
	/** True once the end of the lease was reported. */
	lost = false;
	/** Entries of the region that share the target's capacity, this node included. */
	sharers = 1;
	readonly speed = new LearntSpeed();
	readonly cache = new CacheHints();
	readonly log = new InFlightLog();
	/** How much slower than learnt the target seems, from answers that are overdue. */
	#stall = 1;
	/** Answers of earlier incarnations. */
	#answersBefore = 0;

	constructor(announcement: Announcement, heardAt: Millis, direct: boolean) {
		this.targetId = announcement.targetId;
		this.placement = hash32(announcement.targetId);
		this.announcement = announcement;
		this.handle = targetHandle(announcement.targetId, announcement.incarnation);
		this.heardAt = heardAt;
		this.loadAt = loadTime(announcement, heardAt);
		this.direct = direct;
	}

	get inFlight(): number {
		return this.log.inFlight;
	}

	get inFlightTokens(): number {
		return this.log.tokens;
	}

	get meanTokens(): number | undefined {
		return this.log.meanTokens;
	}

	get sentSinceReport(): number {
		return this.log.startedSince(this.loadAt);
	}

	get othersInFlight(): number {
		const {running, queued} = this.announcement.load;
		return Math.max(0, running + queued - this.log.inFlightAt(this.loadAt));
	}

	get limit(): number {
		const {capacity} = this.announcement;
		const fairShare = this.sharers > capacity ? 0 : Math.ceil(capacity / this.sharers);
		const left = Math.max(fairShare, capacity - this.othersInFlight);
		return Math.min(left, firstLimit + this.#answers());
	}

	get tokenMs(): number | undefined {
		const {tokenMs} = this.speed;
		return tokenMs === undefined ? undefined : tokenMs * this.#stall;
	}

	get startMs(): number | undefined {
		return this.speed.startMs;
	}

	get callMs(): number | undefined {
		return this.speed.callMs;
	}

	/** Share of the target's capacity in use, from 0 to 1. */
	get fill(): number {
		return Math.min(1, (this.inFlight + this.othersInFlight) / Math.max(1, this.announcement.capacity));
	}

	cachedBlocks(prefixBlocks: readonly string[]): number {
		return this.cache.leading(prefixBlocks);
	}

	/** Takes a newer announcement; what was believed of the cache does not outlive a restart. */
	update(announcement: Announcement, heardAt: Millis, direct: boolean): void {
		if (announcement.incarnation !== this.announcement.incarnation) {
			this.cache.clear();
			this.#answersBefore = this.speed.answers;
			this.handle = targetHandle(announcement.targetId, announcement.incarnation);
		}

		this.announcement = announcement;
		this.heardAt = heardAt;
		this.loadAt = loadTime(announcement, heardAt);
		this.direct = direct;
		this.lost = false;
	}

	/** Compares the time without an answer with the learnt time between answers. */
	checkStall(now: Millis): void {
		const {tokenMs} = this.speed;
		if (tokenMs === undefined || this.inFlight === 0) {
			this.#stall = 1;
			return;
		}

		const answerMs = (this.speed.startMs ?? 0) + (this.inFlightTokens / this.inFlight * tokenMs * (1 + this.fill));
		const overdue = (now - this.log.quietSince) / (overdueFactor * answerMs);
		this.#stall = Math.max(1, overdue);
	}

	/** Whole answers of this incarnation. */
	#answers(): number {
		return this.speed.answers - this.#answersBefore;
	}
}

function loadTime(announcement: Announcement, heardAt: Millis): Millis {
	return heardAt - announcement.load.ageMs as Millis;
}
