import type {Random} from '../common/random.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Membership} from '../membership/membership.ts';
import type {NodeInfo} from '../membership/node-info.ts';

/** Picks an entry at random in proportion to machine size, so that forwarding nodes do not all pick the same one. */
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
