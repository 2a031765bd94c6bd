import type {Region} from '../ids/region.ts';
import type {KeeperSet} from '../ledger/keeper-set.ts';

/** The current keeper set of each region; epochs only increase. */
export class KeeperSets {
	#sets = new Map<Region, KeeperSet>();

	/** Sum of the epochs, which increases with each change of any set. */
	get version(): number {
		let version = 0;
		for (const {epoch} of this.#sets.values()) {
			version += epoch;
		}

		return version;
	}

	get(region: Region): KeeperSet | undefined {
		return this.#sets.get(region);
	}

	all(): readonly KeeperSet[] {
		return [...this.#sets.values()];
	}

	/** Installs the set whose epoch follows the current one by exactly one. */
	installNext(set: KeeperSet): boolean {
		const current = this.#sets.get(set.region)?.epoch ?? 0;
		if (set.epoch !== current + 1) {
			return false;
		}

		this.#sets.set(set.region, set);
		return true;
	}

	/** Adopts the sets with a higher epoch; returns whether there were any. */
	merge(sets: readonly KeeperSet[]): boolean {
		let changed = false;
		for (const set of sets) {
			if (set.epoch > (this.#sets.get(set.region)?.epoch ?? 0)) {
				this.#sets.set(set.region, set);
				changed = true;
			}
		}

		return changed;
	}

	restore(sets: readonly KeeperSet[]): void {
		this.#sets = new Map(sets.map(set => [set.region, set]));
	}
}
