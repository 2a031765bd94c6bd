import type {NodeId} from '../ids/node-id.ts';
import type {NodeInfo} from './node-info.ts';

/** Addresses given in this process's settings; they win over what other nodes say. */
export class AddressBook {
	readonly #seeds: ReadonlyMap<NodeId, NodeInfo>;

	constructor(seeds: readonly NodeInfo[]) {
		this.#seeds = new Map(seeds.map(seed => [seed.nodeId, seed]));
	}

	/** Returns `info` with the addresses of the settings where they name the node. */
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
