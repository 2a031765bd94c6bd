import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {EntryDirectory} from '../registry/entry-directory.ts';
import type {QuotaSums} from '../organisations/quota/quota-sums.ts';
import type {TargetRegistry} from '../registry/target-registry.ts';
import type {ControlMessage} from './control-message.ts';
import type {ControlPeer} from './control-peer.ts';
import {controlTiming} from './control-timing.ts';

type Gossip = ControlMessage & {type: 'gossip'};

type RegistryGossipOptions = {
	readonly self: NodeId;
	readonly epoch: string;
	readonly region: Region;
	/** Address at which targets and operators reach this node. */
	readonly operatorAddress: string;
	readonly registry: TargetRegistry;
	readonly directory: EntryDirectory;
	readonly quotas: QuotaSums;
	readonly outbox: Outbox;
	/** The other control nodes. */
	readonly peers: () => readonly NodeId[];
};

type PeerState = {
	/** Revision of this node's registry up to which the peer has acknowledged its reports. */
	ackedRevision: number;
	/** Revision of this node's registry up to which reports were sent, acknowledged or not. */
	sentRevision: number;
	sentAt: number;
	/** Identifies the run of the peer's process. */
	epoch?: string;
	/** Revision of the peer's registry up to which this node has its reports. */
	receivedRevision: number;
	heardAt: number;
	region?: Region;
	operatorAddress?: string;
	/** Targets that the peer sent a heartbeat for but whose report this node lacks. */
	missing: TargetId[];
};

/**
 * Exchanges between control nodes what they hear from targets and entries: changes at once, heartbeats in batches.
 * Each node sends what it heard directly to every other node, so nothing is relayed.
 */
export class RegistryGossip {
	readonly #options: RegistryGossipOptions;
	readonly #peers = new Map<NodeId, PeerState>();

	constructor(options: RegistryGossipOptions) {
		this.#options = options;
	}

	/** Address of a reachable control node of the region, for the reports of its targets; undefined if there is none or it is this node's region. */
	operatorAddress(region: Region, now: Millis): string | undefined {
		if (region === this.#options.region) {
			return undefined;
		}

		return [...this.#peers.values()].find(peer => peer.region === region && now - peer.heardAt < controlTiming.followLeaseMs)?.operatorAddress;
	}

	/** This node and the other control nodes that it heard from lately. */
	controlPeers(now: Millis): readonly ControlPeer[] {
		const {self, region, peers} = this.#options;
		const others = peers()
			.map(nodeId => ({nodeId, peer: this.#peers.get(nodeId)}))
			.filter(({peer}) => peer !== undefined && now - peer.heardAt < controlTiming.followLeaseMs)
			.map(({nodeId, peer}) => ({nodeId, region: peer!.region}));
		return [{nodeId: self, region}, ...others];
	}

	handle(from: NodeId, message: Gossip, now: Millis): void {
		const {registry, directory, quotas, epoch} = this.#options;
		const peer = this.#peerState(from);
		if (peer.epoch !== message.epoch) {
			peer.epoch = message.epoch;
			peer.receivedRevision = 0;
		}

		peer.heardAt = now;
		peer.region = message.region;
		peer.operatorAddress = message.operatorAddress;
		// A message that starts after the received revision follows a lost one; the peer sends the reports in between again.
		if (message.from <= peer.receivedRevision) {
			peer.receivedRevision = Math.max(message.to, peer.receivedRevision);
		}

		for (const {report, ageMs} of message.reports) {
			registry.recordReport(report, now, {direct: false, ageMs});
		}

		peer.missing = message.signs
			.filter(([targetId, born, sequence, ageMs]) => !registry.recordHeartbeat(targetId, {born, sequence, ageMs}, now))
			.map(([targetId]) => targetId);
		for (const {status, ageMs} of message.entries) {
			directory.update(status, now, {direct: false, ageMs});
			quotas.record(status.nodeId, status.demand, {ageMs, left: status.state === 'leaving'}, now);
		}

		peer.ackedRevision = message.have?.epoch === epoch ? message.have.revision : 0;
		if (message.missing.length > 0) {
			// The peer lacks a report: it is sent the whole list again.
			peer.ackedRevision = 0;
			peer.sentRevision = 0;
		}
	}

	/** Sends gossip to each peer that lacks changes or whose regular message is due; with `urgent`, to all. */
	push(now: Millis, urgent: boolean): void {
		const {registry, peers} = this.#options;
		for (const nodeId of peers()) {
			const peer = this.#peerState(nodeId);
			const due = now - peer.sentAt >= controlTiming.statusIntervalMs;
			if (due) {
				// Reports that are not acknowledged yet are sent again.
				peer.sentRevision = peer.ackedRevision;
			}

			const hasChanges = registry.revision > peer.sentRevision && registry.directReportsSince(peer.sentRevision, now).length > 0;
			if (due || urgent || hasChanges) {
				this.#send(nodeId, peer, now);
			}
		}
	}

	#send(nodeId: NodeId, peer: PeerState, now: Millis): void {
		const {epoch, region, operatorAddress, registry, directory, outbox} = this.#options;
		outbox.send(nodeId, {
			part: 'control',
			body: {
				type: 'gossip',
				epoch,
				region,
				operatorAddress,
				from: peer.sentRevision,
				to: registry.revision,
				reports: registry.directReportsSince(peer.sentRevision, now),
				signs: registry.directHeartbeats(2 * controlTiming.statusIntervalMs, now),
				entries: directory.directStatuses(now),
				have: peer.epoch === undefined ? undefined : {epoch: peer.epoch, revision: peer.receivedRevision},
				missing: peer.missing,
			},
		});
		peer.missing = [];
		peer.sentRevision = registry.revision;
		peer.sentAt = now;
	}

	#peerState(nodeId: NodeId): PeerState {
		let peer = this.#peers.get(nodeId);
		if (peer === undefined) {
			peer = {
				ackedRevision: 0, sentRevision: 0, sentAt: Number.NEGATIVE_INFINITY, receivedRevision: 0, heardAt: Number.NEGATIVE_INFINITY, missing: [],
			};
			this.#peers.set(nodeId, peer);
		}

		return peer;
	}
}
