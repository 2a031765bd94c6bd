import type {KeeperEpoch} from './keeper-epoch.ts';
import type {KeeperSet} from './keeper-set.ts';

/** Epochs remembered, to answer later ones. */
const maxEpochs = 16;

/** The epochs of a region's keepers that this node heard of; bounded. */
export class EpochHistory {
	readonly #epochs = new Map<number, KeeperEpoch>();

	/** Adds a set and the epochs before it that it names; `kept` is not dropped. */
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
