/** Time for which a machine remains lost after it is back or, if it is new, after its start, in milliseconds (required of the first deployments). */
const catchUpMs = 4000;

type MachineLossesOptions = {
	/** Machines, and disks, that may be lost at the same time. */
	readonly tolerated: number;
	readonly machines: number;
	/** Time after which all lost disks are made up for when more machines than `tolerated` had been lost, in milliseconds. */
	readonly recoveryMs: number;
};

/** Tells which machines and disks of a deployment count as lost at a time, and so which losses it must bear. */
export class MachineLosses {
	readonly #tolerated: number;
	readonly #recoveryMs: number;
	/** Time at which each machine stops to count as lost. */
	readonly #lostUntil: number[];
	/** Number of disks lost by machine: its own and those of successors that were removed in turn. */
	readonly #lostDisks = new Map<number, number>();
	/**
	 * Time at which the last loss beyond what the service must bear ended; starts as one, with a disk that counts as
	 * lost: a log that loses the disks of most initial members before it exists looks like one that lost all of them.
	 */
	#beyondUntil = 0;
	#unformed = 1;

	constructor({tolerated, machines, recoveryMs}: MachineLossesOptions) {
		this.#tolerated = tolerated;
		this.#recoveryMs = recoveryMs;
		this.#lostUntil = Array.from({length: machines}, () => 0);
	}

	/** True once all machines have been found to run and to be up to date. */
	get isFormed(): boolean {
		return this.#unformed === 0;
	}

	/** Notes which machines are down, frozen, cut off or unable to write. */
	observe(impaired: readonly number[], linksImpaired: boolean, now: number): void {
		for (const machine of impaired) {
			this.#lostUntil[machine] = now + catchUpMs;
		}

		if (linksImpaired || this.lostMachines(now).length > this.#tolerated) {
			this.#beyondUntil = now + this.#recoveryMs;
		}

		for (const machine of this.#lostDisks.keys()) {
			if (now >= Math.max(this.#beyondUntil, this.#lostUntil[machine]!)) {
				this.#lostDisks.delete(machine);
			}
		}
	}

	/** Notes that the disk of a machine is lost; it has run since `startedAt` with an empty one. */
	loseDisk(machine: number, startedAt: number): void {
		this.#lostDisks.set(machine, 1 + (this.#lostDisks.get(machine) ?? 0));
		this.#lostUntil[machine] = startedAt + catchUpMs;
	}

	lostMachines(now: number): readonly number[] {
		return [...this.#lostUntil.keys()].filter(machine => now < this.#lostUntil[machine]!);
	}

	/** True if the machines may be lost, with or without their disks, and the service must go on. */
	mayLose(machines: readonly number[], now: number): boolean {
		return new Set([...this.lostMachines(now), ...machines]).size <= this.#tolerated;
	}

	/** True if the disks of the machines may be lost too, whether the service goes on or not. */
	mayLoseDisks(machines: readonly number[], now: number): boolean {
		this.observe([], false, now);
		const lost = [...this.#lostDisks.values()].reduce((sum, count) => sum + count, machines.length);
		return lost + this.#unformed <= this.#tolerated;
	}

	/** Notes that all machines have been found to run and to be up to date: no disk is lost. */
	endAll(): void {
		this.#lostDisks.clear();
		this.#beyondUntil = 0;
		this.#unformed = 0;
	}
}
