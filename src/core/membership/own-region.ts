import type {Random} from '../common/random.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {ServiceSummary} from '../targets/service-summary.ts';
import type {NodeInfo} from './node-info.ts';
import {rankByHash} from './rank-by-hash.ts';
import type {RegionNode} from './region-node.ts';
import type {RegionSummary} from './region-summary.ts';
import {sample} from './sample.ts';

type SummarizeOptions = {
	/** Live nodes of the region, this one included. */
	readonly nodes: readonly RegionNode[];
	readonly self: NodeInfo;
	readonly version: number;
	readonly services: readonly ServiceSummary[];
	readonly heard: Readonly<Record<string, number>>;
	readonly random: Random;
};

/** Largest number of entries listed in a region's summary. */
const entryLimit = 3;
/** Largest number of keeper candidates listed in a region's summary, and of those that drain beside them. */
const candidateLimit = 4;

/** Nodes that exchange summaries and take forwarded requests for their region: entries that are not draining, or all nodes if there are none. */
function delegates(nodes: readonly RegionNode[]): readonly RegionNode[] {
	const usable = nodes.filter(({draining, info}) => !draining && info.roles.includes('entry'));
	return usable.length > 0 ? usable : nodes;
}

/** Choice of this region's delegates and keeper candidates, and the summary of it for other regions. */
export const ownRegion = {
	/** This node's rank among the delegates for `other`, infinite if it is none; all nodes of the region compute the same order. */
	delegateRank(nodes: readonly RegionNode[], self: NodeId, other: Region): number {
		const order = rankByHash(delegates(nodes), ({info}) => `${other}/${info.nodeId}`);
		const rank = order.findIndex(({info}) => info.nodeId === self);
		return rank === -1 ? Infinity : rank;
	},

	/** Candidates for keepers of claims, best first: nodes with a disk, then by hash. Those that drain and may be keepers now come last, so that a leader in another region knows who can hand claims over. */
	keeperCandidates(nodes: readonly RegionNode[]): RegionNode[] {
		const ranked = rankByHash(nodes.filter(({info}) => info.hasDisk || info.roles.includes('entry')), ({info}) => info.nodeId)
			.sort((a, b) => Number(b.info.hasDisk) - Number(a.info.hasDisk));
		const staying = ranked.filter(({draining}) => !draining).slice(0, candidateLimit);
		const leaving = ranked.slice(0, candidateLimit).filter(({draining}) => draining);
		return [...staying, ...leaving];
	},

	/** Lowest settings revision in force at the entries, or at all nodes if there is no entry. */
	lowestRevision(nodes: readonly RegionNode[]): number {
		const entries = nodes.filter(({info}) => info.roles.includes('entry'));
		return Math.min(...(entries.length > 0 ? entries : nodes).map(({revision}) => revision));
	},

	/** Builds the summary of the region for other regions. */
	summarize({nodes, self, version, services, heard, random}: SummarizeOptions): RegionSummary {
		const entries = sample(delegates(nodes), entryLimit, random);
		const candidates = ownRegion.keeperCandidates(nodes);
		const highest = [...nodes].sort((a, b) => b.revision - a.revision)[0]!;
		return {
			region: self.region,
			maker: self.nodeId,
			makerIncarnation: self.incarnation,
			version,
			ageMs: 0,
			revision: ownRegion.lowestRevision(nodes),
			highest: {nodeId: highest.info.nodeId, revision: highest.revision},
			nodes: [...new Set([...entries, ...candidates, highest])],
			entries: entries.map(({info}) => info.nodeId),
			candidates: candidates.map(({info}) => info.nodeId),
			services,
			heard,
		};
	},
};
