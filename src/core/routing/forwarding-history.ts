import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {RegionView} from '../membership/region-view.ts';

/** Time over which traffic to a region that came back grows to all of it. */
const rampMs = 30_000;

/** Share of the traffic that a region gets at the moment it comes back. */
const initialRampShare = 0.1;

/** Forwards are remembered for the time by which sums can be late, at most. */
const historyMs = 10_000;

/** What this node remembers of forwarding to one service of other regions. */
export class ForwardingHistory {
	readonly #regions = new Map<Region, RegionHistory>();

	/** Notes whether a region can serve now; call it before the other questions. */
	observe(view: RegionView, usable: boolean, now: Millis): void {
		const history = this.#regionHistory(view.region);
		if (usable && !history.usable && history.observed) {
			history.recoveredAt = now;
		}

		history.usable = usable;
		history.observed = true;
	}

	/** Share of the wanted traffic that a region may get: below 1 while it comes back with cold caches. */
	rampShare(region: Region, now: Millis): number {
		const {recoveredAt: backAt} = this.#regionHistory(region);
		if (backAt === undefined) {
			return 1;
		}

		return Math.min(1, initialRampShare + ((now - backAt) / rampMs));
	}

	/** Own forwards to a region that its sums cannot show yet. */
	forwardsSince(region: Region, at: Millis): number {
		return this.#regionHistory(region).forwardTimes.filter(time => time > at).length;
	}

	/** True if the last decision for the region was to forward. */
	isForwarding(region: Region): boolean {
		return this.#regionHistory(region).forwarding;
	}

	/** Notes a forward. */
	recordForward(region: Region, now: Millis): void {
		const history = this.#regionHistory(region);
		history.forwarding = true;
		history.forwardTimes = [...history.forwardTimes.filter(time => now - time < historyMs), now];
	}

	/** Notes that staying was better than every region. */
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
