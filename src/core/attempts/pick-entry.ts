import type {Random} from '../common/random.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Membership} from '../membership/membership.ts';
import type {NodeInfo} from '../membership/node-info.ts';

/** Picks a random entry, weighted by machine size, so that forwarding nodes do not all pick the same one; undefined if none is known. */
export function pickEntry(entries: readonly NodeId[], membership: Membership, random: Random): NodeInfo | undefined {
	const known = entries
		.map(nodeId => membership.info(nodeId))
		.filter(info => info !== undefined);
	const total = known.reduce((sum, info) => sum + info.weight, 0);
	let point = random.next() * total;
	for (const info of known) {
		point -= info.weight;
		if (point < 0) {
			return info;
		}
	}

	return known.at(-1);
}
