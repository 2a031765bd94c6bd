import {rankByHash} from '../membership/rank-by-hash.ts';
import type {NodeView} from '../membership/node-view.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {KeeperEpoch} from './keeper-epoch.ts';
import type {KeeperSet} from './keeper-set.ts';

type NextKeepersOptions = {
	readonly region: Region;
	/** Nodes of the region that are alive and not draining. */
	readonly live: readonly NodeView[];
	readonly current?: KeeperSet;
	/** Wanted number of members. */
	readonly size: number;
};

/** Maximum number of earlier epochs listed in a set. */
const maxEarlierEpochs = 4;

/** Chooses up to `size` members: prefers nodes with a disk, then members of the current set, then zones without a chosen member. */
function chooseMembers({live, current, size}: NextKeepersOptions): NodeView[] {
	const pool = rankByHash(live.filter(({info}) => info.roles.includes('entry') || info.hasDisk), ({info}) => info.nodeId);
	const chosen: NodeView[] = [];
	while (chosen.length < size && pool.length > 0) {
		const score = ({info}: NodeView) => (
			(info.hasDisk ? 4 : 0)
			+ (current?.members.includes(info.nodeId) ? 2 : 0)
			+ (chosen.some(other => other.info.zone === info.zone) ? 0 : 1)
		);
		// The sort is stable, so equal nodes stay in hash order.
		pool.sort((a, b) => score(b) - score(a));
		chosen.push(pool.shift()!);
	}

	return chosen;
}

/** The current epoch and the ones before it, newest first, without their own lists of earlier epochs. */
function earlierEpochs(current: KeeperSet | undefined): KeeperEpoch[] {
	if (!current) {
		return [];
	}

	const {earlier, ...epoch} = current;
	return [epoch, ...earlier].slice(0, maxEarlierEpochs);
}

/** Returns the keeper set that a region should have next; undefined if the current one is the best choice or no node is eligible. */
export function nextKeepers(options: NextKeepersOptions): KeeperSet | undefined {
	const {region, current} = options;
	const chosen = chooseMembers(options);
	const incarnations: Record<NodeId, number> = {};
	for (const {info} of chosen) {
		incarnations[info.nodeId] = info.incarnation;
	}

	const same = current?.members.length === chosen.length
		&& chosen.every(({info}) => current.members.includes(info.nodeId) && current.incarnations[info.nodeId] === info.incarnation);
	if (same || chosen.length === 0) {
		return undefined;
	}

	return {
		region,
		epoch: (current?.epoch ?? 0) + 1,
		members: chosen.map(({info}) => info.nodeId),
		incarnations,
		previous: current?.members ?? [],
		earlier: earlierEpochs(current),
	};
}
