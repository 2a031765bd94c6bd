import type {KeeperEpoch} from './keeper-epoch.ts';
import type {KeeperSet} from './keeper-set.ts';

/** Maximum number of stored epochs. */
const maxEpochs = 16;

/** Bounded history of the region's keeper epochs known to this node. */
export class EpochHistory {
	readonly #epochs = new Map<number, KeeperEpoch>();

	/**
	 * Adds a set and the earlier epochs listed in it. Drops the oldest beyond the limit, except `keptEpoch`, the last
	 * epoch in which this node was active: a compacted journal records it.
	 */
	add(set: KeeperSet, keptEpoch: number): void {
		for (const epoch of [...set.earlier].reverse()) {
			this.#epochs.set(epoch.epoch, epoch);
		}

		this.#epochs.set(set.epoch, set);
		for (const epoch of this.#epochs.keys()) {
			if (this.#epochs.size > maxEpochs && epoch !== keptEpoch) {
				this.#epochs.delete(epoch);
			}
		}
	}

	get(epoch: number): KeeperEpoch | undefined {
		return this.#epochs.get(epoch);
	}
}
