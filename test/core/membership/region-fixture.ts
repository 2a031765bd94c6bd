import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {ClusterMembership} from '../../../src/core/membership/cluster-membership.ts';
import type {MembershipMessage} from '../../../src/core/membership/membership-message.ts';
import type {NodeInfo} from '../../../src/core/membership/node-info.ts';
import {FakeNetwork} from '../../fixtures/fake-network.ts';

type RegionFixtureOptions = {
	readonly regions?: number;
	readonly nodesPerRegion: number;
	readonly seed?: number;
	/** Share of messages that is lost. */
	readonly loss?: number;
};

/** A network of `ClusterMembership` parts: `r<region>-<index>`, 1 ms apart in a region and 30 ms between regions. */
export function regionFixture({regions = 1, nodesPerRegion, seed = 1, loss = 0}: RegionFixtureOptions) {
	const random = new SeededRandom(seed);
	const cuts = new Set<string>();
	const parts = new Map<NodeId, ClusterMembership>();
	const network = new FakeNetwork({
		random,
		delay(from, to) {
			const near = from.split('-')[0] === to.split('-')[0];
			return cuts.has(`${from}>${to}`) || random.next() < loss ? undefined : (near ? 1 : 30);
		},
	});
	const infos = Array.from({length: regions * nodesPerRegion}, (_, index) => makeInfo(index % regions, Math.floor(index / regions)));
	// The settings of a process name two nodes of each region.
	const seeds = infos.slice(0, regions * 2);
	const start = (info: NodeInfo) => {
		const part = new ClusterMembership({
			self: info, seeds, outbox: network.outbox(info.nodeId), random: new SeededRandom(Math.floor(random.next() * 1e9)),
		});
		parts.set(info.nodeId, part);
		network.start(info.nodeId, {
			handle(from, message, now: Millis) {
				part.handle(from, message.body as MembershipMessage, now);
			},
			tick(now: Millis) {
				part.tick(now);
			},
		});
		return part;
	};

	for (const info of infos) {
		start(info);
	}

	const others = (nodeId: NodeId) => [...parts].filter(([id]) => id !== nodeId && id.split('-')[0] === nodeId.split('-')[0]).map(([, part]) => part);
	const seenAlive = (nodeId: NodeId) => others(nodeId).filter(part => part.node(nodeId)?.state === 'alive').length;
	/** Members of the region that some node does not see alive. */
	const doubted = () => infos.filter(({nodeId}) => seenAlive(nodeId) < others(nodeId).length).map(({nodeId}) => nodeId);
	return {
		network, parts, infos, cuts, start, seenAlive, doubted, others,
	};
}

/** Address data of a node. */
function makeInfo(region: number, index: number): NodeInfo {
	return {
		nodeId: toId(`r${region}-${index}`),
		region: toId(`r${region}`),
		zone: toId(`r${region}-z${index % 4}`),
		roles: ['entry'],
		callerAddress: `10.${region}.0.${index}:7000`,
		peerAddress: `10.${region}.0.${index}:7001`,
		weight: 1,
		hasDisk: index === 0,
		incarnation: 1_700_000_000_000,
	};
}
