import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {RegionView} from '../membership/region-view.ts';

/** Time over which traffic to a recovered region ramps up to the full share, in milliseconds. */
const rampMs = 30_000;

/** Share of its traffic that a region gets at the moment it recovers. */
const initialRampShare = 0.1;

/** How long forwards are remembered, in milliseconds: the longest delay of region summaries that is compensated. */
const historyMs = 10_000;

/** This node's recent forwards of one service's requests to other regions. */
export class ForwardingHistory {
	readonly #regions = new Map<Region, RegionHistory>();

	/** Records whether a region can serve now; call it before the other methods. */
	observe(view: RegionView, usable: boolean, now: Millis): void {
		const history = this.#regionHistory(view.region);
		if (usable && !history.usable && history.observed) {
			history.recoveredAt = now;
		}

		history.usable = usable;
		history.observed = true;
	}

	/** Share of its traffic that a region may get now, 0 to 1: below 1 while it recovers, since its caches are cold. */
	rampShare(region: Region, now: Millis): number {
		const {recoveredAt} = this.#regionHistory(region);
		if (recoveredAt === undefined) {
			return 1;
		}

		return Math.min(1, initialRampShare + ((now - recoveredAt) / rampMs));
	}

	/** Number of this node's forwards to a region after `at`, which a summary made at that time does not include. */
	forwardsSince(region: Region, at: Millis): number {
		return this.#regionHistory(region).forwardTimes.filter(time => time > at).length;
	}

	/** True if a request was forwarded to the region and `recordLocalChoice` was not called since. */
	isForwarding(region: Region): boolean {
		return this.#regionHistory(region).forwarding;
	}

	/** Records a forward to a region. */
	recordForward(region: Region, now: Millis): void {
		const history = this.#regionHistory(region);
		history.forwarding = true;
		history.forwardTimes = [...history.forwardTimes.filter(time => now - time < historyMs), now];
	}

	/** Records that a request stays in this node's own region, because no remote region is faster by more than the penalty. */
	recordLocalChoice(): void {
		for (const history of this.#regions.values()) {
			history.forwarding = false;
		}
	}

	#regionHistory(region: Region): RegionHistory {
		let history = this.#regions.get(region);
		if (!history) {
			history = {
				observed: false, usable: false, forwarding: false, forwardTimes: [],
			};
			this.#regions.set(region, history);
		}

		return history;
	}
}

type RegionHistory = {
	observed: boolean;
	usable: boolean;
	recoveredAt?: Millis;
	forwarding: boolean;
	forwardTimes: Millis[];
};
