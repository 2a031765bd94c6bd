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
	/** Probability that a message is lost, from 0 to 1. */
	readonly loss?: number;
};

/** A simulated network of `ClusterMembership` instances `r<region>-<index>`: 1 ms delay inside a region, 30 ms between regions. */
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
	// The settings of every process name two nodes of each region.
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
	/** Nodes that some other node of their region does not consider alive. */
	const notAliveToAll = () => infos.filter(({nodeId}) => seenAlive(nodeId) < others(nodeId).length).map(({nodeId}) => nodeId);
	return {
		network, parts, infos, cuts, start, seenAlive, notAliveToAll, others,
	};
}

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
