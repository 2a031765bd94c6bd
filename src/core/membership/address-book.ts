import type {NodeId} from '../ids/node-id.ts';
import type {NodeInfo} from './node-info.ts';

/** Addresses from this process's settings file; they take precedence over gossiped ones. */
export class AddressBook {
	readonly #seeds: ReadonlyMap<NodeId, NodeInfo>;

	constructor(seeds: readonly NodeInfo[]) {
		this.#seeds = new Map(seeds.map(seed => [seed.nodeId, seed]));
	}

	/** Returns `info`, with its addresses replaced if the settings name the node. */
	resolve(info: NodeInfo): NodeInfo {
		const seed = this.#seeds.get(info.nodeId);
		if (!seed) {
			return info;
		}

		return {...info, callerAddress: seed.callerAddress, peerAddress: seed.peerAddress};
	}

	isSeed(nodeId: NodeId): boolean {
		return this.#seeds.has(nodeId);
	}
}
