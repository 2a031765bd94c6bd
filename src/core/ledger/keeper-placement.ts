import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {NodeView} from '../membership/node-view.ts';
import type {KeeperSet} from './keeper-set.ts';
import {nextKeepers} from './next-keepers.ts';

type RegionState = {
	readonly region: Region;
	/** Known nodes of the region, alive or not. */
	readonly nodes: readonly NodeView[];
	readonly current?: KeeperSet;
	/** Wanted number of members. @default 2 */
	readonly size?: number;
};

/** Time for which a change must be wanted before it is proposed, in milliseconds. */
const settleMs = 3000;
/** Time for which a change must be wanted while no member of the current set is alive, in milliseconds; longer because only those members have the claims. */
const orphanedSettleMs = 60_000;
/** Pause after a proposal before the next one for the region, in milliseconds. */
const proposalPauseMs = 2000;

/** Decides, on the leader of the replicated log, when a region's keeper set changes. */
export class KeeperPlacement {
	readonly #wantedSince = new Map<Region, number>();
	readonly #nextProposalAt = new Map<Region, number>();

	/** Returns the set to propose now, if any. Must be called for each region at least about once a second. */
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
		const settled = now - since >= this.#settleMs({
			next, live, nodes, current,
		});
		if (!settled || now < (this.#nextProposalAt.get(region) ?? 0)) {
			return undefined;
		}

		this.#nextProposalAt.set(region, now + proposalPauseMs);
		return next;
	}

	#settleMs({next, live, nodes, current}: {next: KeeperSet; live: readonly NodeView[]; nodes: readonly NodeView[]; current?: KeeperSet}): number {
		if (!current) {
			// A first set with a single member waits, since further nodes may still be starting.
			return next.members.length > 1 ? 0 : settleMs;
		}

		const present = current.members.filter(member => live.some(({info}) => info.nodeId === member));
		if (present.length === 0) {
			// A member that drains still has the claims, and waits only a short time for others to take them over.
			const leaving = nodes.some(({info, state, draining}) => state === 'alive' && draining && current.members.includes(info.nodeId));
			return leaving ? 0 : orphanedSettleMs;
		}

		if (present.length < current.members.length) {
			return settleMs;
		}

		// A member was restarted or the set can grow: waiting has no benefit.
		return current.members.every(member => next.members.includes(member)) ? 0 : settleMs;
	}
}
