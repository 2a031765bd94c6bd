import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {RegionView} from '../membership/region-view.ts';

/** Time over which traffic to a region that came back grows to all of it. */
const rampMs = 30_000;

/** Share of the traffic that a region gets at the moment it comes back. */
const rampStart = 0.1;

/** Forwards are remembered for the time by which sums can be late, at most. */
const historyMs = 10_000;

/** What this node remembers of forwarding to one service of other regions. */
export class AwayMemory {
	readonly #regions = new Map<Region, RegionMemory>();

	/** Notes whether a region can serve now; call it before the other questions. */
	observe(view: RegionView, usable: boolean, now: Millis): void {
		const memory = this.#memory(view.region);
		if (usable && !memory.usable && memory.seen) {
			memory.backAt = now;
		}

		memory.usable = usable;
		memory.seen = true;
	}

	/** Share of the wanted traffic that a region may get: below 1 while it comes back with cold caches. */
	ramp(region: Region, now: Millis): number {
		const {backAt} = this.#memory(region);
		if (backAt === undefined) {
			return 1;
		}

		return Math.min(1, rampStart + ((now - backAt) / rampMs));
	}

	/** Own forwards to a region that its sums cannot show yet. */
	sentSince(region: Region, at: Millis): number {
		return this.#memory(region).sent.filter(time => time > at).length;
	}

	/** True if the last decision for the region was to forward. */
	forwarding(region: Region): boolean {
		return this.#memory(region).forwarding;
	}

	/** Notes a forward. */
	sent(region: Region, now: Millis): void {
		const memory = this.#memory(region);
		memory.forwarding = true;
		memory.sent = [...memory.sent.filter(time => now - time < historyMs), now];
	}

	/** Notes that staying was better than every region. */
	stayed(): void {
		for (const memory of this.#regions.values()) {
			memory.forwarding = false;
		}
	}

	#memory(region: Region): RegionMemory {
		let memory = this.#regions.get(region);
		if (!memory) {
			memory = {
				seen: false, usable: false, forwarding: false, sent: [],
			};
			this.#regions.set(region, memory);
		}

		return memory;
	}
}

type RegionMemory = {
	seen: boolean;
	usable: boolean;
	backAt?: Millis;
	forwarding: boolean;
	sent: Millis[];
};
