import type {ControlCluster} from '../../fixtures/control-cluster.ts';

/** The links that a schedule has cut between nodes of a cluster. */
export class CutLinks {
	readonly #cluster: ControlCluster;
	readonly #nodes = new Set<number>();

	constructor(cluster: ControlCluster) {
		this.#cluster = cluster;
	}

	/** True if links of the node are cut. */
	isCut(node: number): boolean {
		return this.#nodes.has(node);
	}

	/** Cuts nodes off from all others; `direction` is that of the messages which are lost, as these nodes see it. */
	cut(nodes: readonly number[], direction: 'both' | 'in' | 'out'): void {
		for (const node of nodes) {
			this.#nodes.add(node);
			for (const other of this.#cluster.nodes.keys()) {
				if (!nodes.includes(other)) {
					if (direction !== 'in') {
						this.#cluster.cut.add(`${node}>${other}`);
					}

					if (direction !== 'out') {
						this.#cluster.cut.add(`${other}>${node}`);
					}
				}
			}
		}
	}

	/** Mends all links. */
	mend(): void {
		this.#cluster.cut.clear();
		this.#nodes.clear();
	}
}
