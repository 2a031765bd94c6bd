import type {SoakDeployment} from './soak-deployment.ts';
import type {SoakNode} from './soak-node.ts';

/** Disks that may be lost at the same time. */
const maxLostDisks = 2;
/** Time for which a node with an empty disk has to run undisturbed before its lost disk no longer counts, and for which a slowed node stays impaired, in milliseconds: `catch-up-s` of the first deployments. */
const catchUpMs = 4000;
/** Time after an excess of impaired control nodes in which service may stay suspended, in milliseconds: `recovery-s` of the first deployments. */
const recoveryMs = 12_000;
/** Delay of its event loop from which a node counts as slowed, in milliseconds: longer ones cost a leader its lease. */
const slowedMs = 800;

/** A lost disk, with the node that takes its place, and since when that has run undisturbed. */
type LostDisk = {node: SoakNode; runningSince: number | undefined};

/** Counts the lost disks of control nodes, so that the drawn faults stay within what a deployment must bear. */
export class LostDisks {
	readonly #deployment: SoakDeployment;
	readonly #now: () => number;
	readonly #slowedAt = new Map<SoakNode, number>();
	#lost: LostDisk[] = [];
	/** Last time at which more control nodes were impaired than may be lost: those that lost their disks catch up only afterwards. */
	#suspendedAt = Number.NEGATIVE_INFINITY;

	constructor(deployment: SoakDeployment, now: () => number) {
		this.#deployment = deployment;
		this.#now = now;
	}

	get mayLose(): boolean {
		this.update();
		return this.#lost.length < maxLostDisks;
	}

	/** Notes that a node loses its disk and starts again. */
	add(node: SoakNode): void {
		this.#lost.push({node, runningSince: undefined});
	}

	/** Notes that a node goes for good with its disk. */
	replace(old: SoakNode, successor: SoakNode): void {
		for (const lost of this.#lost.filter(({node}) => node === old)) {
			lost.node = successor;
			lost.runningSince = undefined;
		}

		this.add(successor);
	}

	/** Takes note of the nodes' state; called at short intervals and before each draw. */
	update(): void {
		const now = this.#now();
		const {control} = this.#deployment;
		for (const node of control.filter(node => node.wasSlowed(slowedMs))) {
			this.#slowedAt.set(node, now);
		}

		const impaired = new Set(control.filter(node => !node.up || node.loading || node.faults > 0 || now - (this.#slowedAt.get(node) ?? Number.NEGATIVE_INFINITY) < catchUpMs));
		for (const lost of this.#lost) {
			lost.runningSince = impaired.has(lost.node) || !lost.node.up || lost.node.loading ? undefined : lost.runningSince ?? now;
			impaired.add(lost.node);
		}

		if (impaired.size > maxLostDisks) {
			this.#suspendedAt = now;
		}

		this.#lost = this.#lost.filter(({runningSince}) => runningSince === undefined || now - runningSince < catchUpMs || now - this.#suspendedAt < recoveryMs);
	}
}
