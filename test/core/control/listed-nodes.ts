/** Nodes that the settings list as seeds. */
const seedCount = 3;

/** The nodes of the machines at each time at which one of them changed. */
export class ListedNodes {
	readonly #lists: Array<{readonly since: number; readonly nodes: readonly number[]}>;

	constructor(nodes: readonly number[]) {
		this.#lists = [{since: 0, nodes: [...nodes]}];
	}

	add(nodes: readonly number[], now: number): void {
		this.#lists.push({since: now, nodes: [...nodes]});
	}

	/** Three of the nodes that were listed at a time, beginning with that of the machine `first`. */
	seeds(first: number, at: number): readonly number[] {
		const {nodes} = this.#lists.findLast(({since}) => since <= at) ?? this.#lists[0]!;
		return Array.from({length: seedCount}, (_, position) => nodes[(first + position) % nodes.length]!);
	}
}
