import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {NodeView} from '../membership/node-view.ts';
import type {KeeperSet} from './keeper-set.ts';
import {nextKeepers} from './next-keepers.ts';

type RegionState = {
	readonly region: Region;
	/** Nodes of the region as they are known, alive or not. */
	readonly nodes: readonly NodeView[];
	readonly current?: KeeperSet;
	/** Wanted number of members. @default 2 */
	readonly size?: number;
};

/** How long a change must be wanted before it is proposed, in milliseconds. */
const settleMs = 3000;
/** The same while no member of the current set is there: only they have the claims. */
const orphanedSettleMs = 60_000;
/** Pause after a proposal before the next one for the region, in milliseconds. */
const proposalPauseMs = 2000;

/** Decides on the leader of the log when a region's keepers are changed. */
export class KeeperPlacement {
	readonly #wantedSince = new Map<Region, number>();
	readonly #nextProposalAt = new Map<Region, number>();

	/** Returns the set to propose now, if any. Call it for each region about once a second or more often. */
	propose({region, nodes, current, size = 2}: RegionState, now: Millis): KeeperSet | undefined {
		const live = nodes.filter(({state, draining}) => state === 'alive' && !draining);
		const next = nextKeepers({
			region, live, current, size,
		});
		if (!next) {
			this.#wantedSince.delete(region);
			return undefined;
		}

		const since = this.#wantedSince.get(region) ?? now;
		this.#wantedSince.set(region, since);
		const settled = now - since >= this.#settleMs(next, live, current);
		if (!settled || now < (this.#nextProposalAt.get(region) ?? 0)) {
			return undefined;
		}

		this.#nextProposalAt.set(region, now + proposalPauseMs);
		return next;
	}

	#settleMs(next: KeeperSet, live: readonly NodeView[], current: KeeperSet | undefined): number {
		if (!current) {
			return next.members.length > 1 ? 0 : settleMs;
		}

		const present = current.members.filter(member => live.some(({info}) => info.nodeId === member));
		if (present.length === 0) {
			return orphanedSettleMs;
		}

		if (present.length < current.members.length) {
			return settleMs;
		}

		// One was restarted, or there is room for more: nothing is gained by waiting.
		return current.members.every(member => next.members.includes(member)) ? 0 : settleMs;
	}
}
