import type {Outbox} from '../common/outbox.ts';
import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import {AddressBook} from './address-book.ts';
import {FailureDetector} from './failure-detector.ts';
import {GossipQueue} from './gossip-queue.ts';
import {MemberTable} from './member-table.ts';
import type {MemberUpdate} from './member-update.ts';
import type {Membership} from './membership.ts';
import type {MembershipMessage} from './membership-message.ts';
import type {NodeInfo} from './node-info.ts';
import type {NodeView} from './node-view.ts';
import {OwnRecord} from './own-record.ts';
import {PauseDetector} from './pause-detector.ts';
import {RegionSummaries} from './region-summaries.ts';
import type {RegionView} from './region-view.ts';
import {sample} from './sample.ts';
import {SyncSchedule} from './sync-schedule.ts';

type MessageOf<Type extends MembershipMessage['type']> = Extract<MembershipMessage, {type: Type}>;

type ClusterMembershipOptions = {
	readonly self: NodeInfo;
	/** Nodes named in this process's settings; these addresses take precedence over gossiped ones. */
	readonly seeds?: readonly NodeInfo[];
	readonly outbox: Outbox;
	readonly random: Random;
	/** Interval between probe rounds, in milliseconds. @default 300 */
	readonly periodMs?: number;
	/** Members probed in each round. @default 2 */
	readonly probesPerPeriod?: number;
};

/** Queued member records that go into one message. */
const updatesPerMessage = 16;
/** Members that get urgent updates at once, without waiting for a probe. */
const urgentFanout = 3;
/** Members asked for their full member list after this process was paused. */
const resyncFanout = 3;
/** Time after a pause at which this node's view counts as fresh again even if no peer has replied, in milliseconds. */
const maxFreshWaitMs = 1000;

/** Gossip membership in the style of SWIM: probes and member records inside the region, summaries between regions. */
export class ClusterMembership implements Membership {
	readonly #outbox: Outbox;
	readonly #random: Random;
	readonly #table: MemberTable;
	readonly #detector: FailureDetector;
	readonly #ownRecord: OwnRecord;
	readonly #gossip = new GossipQueue();
	readonly #pauseDetector = new PauseDetector();
	readonly #regionSummaries: RegionSummaries;
	readonly #syncSchedule = new SyncSchedule();
	/** Peers that acknowledged a ping, with the incarnation that did: they have this node's address data. */
	readonly #infoAckedBy = new Map<NodeId, number>();
	#freshAgainAt: number | undefined;
	#pauses = 0;

	constructor({self, seeds = [], outbox, random, periodMs, probesPerPeriod}: ClusterMembershipOptions) {
		this.#ownRecord = new OwnRecord(self);
		this.#outbox = outbox;
		this.#random = random;
		const book = new AddressBook(seeds);
		this.#table = new MemberTable(book);
		this.#detector = new FailureDetector({random, periodMs, probesPerPeriod});
		this.#regionSummaries = new RegionSummaries({
			region: self.region, book, outbox, random,
		});
		for (const seed of seeds) {
			if (seed.region !== self.region) {
				this.#regionSummaries.addSeed(seed);
			} else if (seed.nodeId !== self.nodeId) {
				this.#table.addSeed(seed, 0 as Millis);
			}
		}
	}

	get pauses() {
		return this.#pauses;
	}

	handle(from: NodeId, message: MembershipMessage, now: Millis): void {
		this.#checkPause(now);
		switch (message.type) {
			case 'ping': {
				this.#handlePing(from, message, now);
				break;
			}

			case 'ack': {
				this.#handleAck(from, message, now);
				break;
			}

			case 'ping-request': {
				this.#ping(message.target, this.#detector.startHelperProbe(from, message.probe, this.#pauseDetector.awakeNow), now);
				break;
			}

			case 'indirect-ack': {
				this.#merge(from, [message.target], now);
				if (this.#detector.ackedIndirectly(message.probe, message.target.nodeId)) {
					this.#confirm(message.target);
				}

				break;
			}

			case 'gossip': {
				this.#merge(from, message.updates, now);
				break;
			}

			case 'sync-request': {
				this.#handleSyncRequest(from, message, now);
				break;
			}

			case 'sync': {
				this.#handleSync(from, message, now);
				break;
			}

			case 'info-request': {
				this.#send(from, {type: 'gossip', updates: this.#updatesOf(message.nodeIds, true)});
				break;
			}

			case 'region-sum':
			case 'region-sum-reply': {
				this.#regionSummaries.handle(from, message, this.#ownRegionState(), now);
				break;
			}
		}
	}

	tick(now: Millis): void {
		this.#checkPause(now);
		for (const step of this.#detector.tick(this.#table.all(), this.#pauseDetector.awakeNow)) {
			if (step.type === 'ping') {
				this.#ping(step.target, step.probe, now);
			} else if (step.type === 'ask') {
				this.#send(step.helper, {type: 'ping-request', probe: step.probe, target: step.target});
			} else {
				this.#suspect(step.target);
			}
		}

		for (const nodeId of this.#table.expireSuspects(this.#pauseDetector.awakeNow)) {
			this.#gossip.add(nodeId, true, this.#nodeCount());
		}

		this.#table.removeExpired(this.#pauseDetector.awakeNow);
		this.#sendUrgentGossip();
		this.#syncIfDue(now);
		this.#regionSummaries.tick(this.#ownRegionState(), now);
	}

	report(state: Parameters<Membership['report']>[0]): void {
		const change = this.#ownRecord.report(state);
		if (change !== 'none') {
			this.#gossipOwnRecord(change === 'urgent');
		}
	}

	nodes(): readonly NodeView[] {
		return [this.#ownRecord.view(), ...this.#table.all().map(member => this.#table.view(member))];
	}

	node(nodeId: NodeId): NodeView | undefined {
		if (nodeId === this.#ownRecord.info.nodeId) {
			return this.#ownRecord.view();
		}

		const member = this.#table.get(nodeId);
		return member && this.#table.view(member);
	}

	info(nodeId: NodeId): NodeInfo | undefined {
		if (nodeId === this.#ownRecord.info.nodeId) {
			return this.#ownRecord.info;
		}

		return this.#table.get(nodeId)?.info ?? this.#regionSummaries.info(nodeId);
	}

	regions(now: Millis): readonly RegionView[] {
		return [this.#regionSummaries.ownView(this.#ownRegionState()), ...this.#regionSummaries.views(now)];
	}

	region(region: Region, now: Millis): RegionView | undefined {
		if (region === this.#ownRecord.info.region) {
			return this.#regionSummaries.ownView(this.#ownRegionState());
		}

		return this.#regionSummaries.view(region, now);
	}

	nodesAheadOf(revision: number): readonly NodeId[] {
		const near = this.#table.alive().map(member => ({nodeId: member.info.nodeId, revision: member.revision}));
		return [...near, ...this.#regionSummaries.highest()]
			.filter(node => node.revision > revision)
			.sort((a, b) => b.revision - a.revision)
			.map(({nodeId}) => nodeId);
	}

	fresh(now: Millis): boolean {
		return this.#freshAgainAt === undefined || now >= this.#freshAgainAt;
	}

	#handlePing(from: NodeId, message: MessageOf<'ping'>, now: Millis): void {
		this.#merge(from, [message.self, ...message.updates], now);
		const newer = this.#regionSummaries.newerThan(message.sumAges, this.#nodeCount(), now);
		this.#send(from, {
			type: 'ack',
			probe: message.probe,
			self: this.#ownRecord.update(this.#infoAckedBy.get(from) !== message.self.incarnation),
			updates: this.#updatesFor(from),
			...(newer.length > 0 && {sums: newer}),
		});
	}

	#handleAck(from: NodeId, message: MessageOf<'ack'>, now: Millis): void {
		this.#infoAckedBy.set(from, message.self.incarnation);
		this.#merge(from, [message.self, ...message.updates], now);
		this.#regionSummaries.mergeRelayed(message.sums ?? [], now);
		if (!this.#detector.isCurrent(message.probe)) {
			return;
		}

		this.#confirm(message.self);
		this.#freshAgainAt = undefined;
		const helper = this.#detector.acked(from, message.probe, this.#pauseDetector.awakeNow);
		if (helper) {
			this.#send(helper.requester, {type: 'indirect-ack', probe: helper.requestProbe, target: message.self});
		}
	}

	#handleSyncRequest(from: NodeId, message: MessageOf<'sync-request'>, now: Millis): void {
		if (message.digest === this.#table.digest(this.#ownRecord.update(false))) {
			return;
		}

		const updates = [this.#ownRecord.update(false), ...this.#table.updates()];
		this.#send(from, {type: 'sync', nonce: message.nonce, updates});
		if (message.digest !== undefined) {
			this.#syncSchedule.expedite(now);
		}
	}

	#handleSync(from: NodeId, message: MessageOf<'sync'>, now: Millis): void {
		this.#merge(from, message.updates, now);
		if (!this.#syncSchedule.isCurrent(message.nonce)) {
			return;
		}

		this.#freshAgainAt = undefined;
		for (const update of message.updates) {
			if (update.state === 'alive') {
				this.#confirm(update);
			}
		}
	}

	/** Merges records, queues changed ones for gossip and requests missing address data from the sender. */
	#merge(from: NodeId, updates: readonly MemberUpdate[], now: Millis): void {
		const unknown: NodeId[] = [];
		for (const update of updates.filter(({nodeId}) => nodeId === this.#ownRecord.info.nodeId)) {
			if (this.#ownRecord.refute(update)) {
				this.#gossipOwnRecord(true);
			}
		}

		for (const update of updates.filter(({nodeId}) => nodeId !== this.#ownRecord.info.nodeId)) {
			const result = this.#table.merge(update, this.#pauseDetector.awakeNow);
			if (result === 'unknown') {
				unknown.push(update.nodeId);
			} else if (result !== 'ignored') {
				this.#gossip.add(update.nodeId, result === 'changed', this.#nodeCount());
			}
		}

		if (unknown.length > 0) {
			this.#syncSchedule.expedite(now);
			this.#send(from, {type: 'info-request', nodeIds: unknown});
		}
	}

	#gossipOwnRecord(urgent: boolean): void {
		this.#gossip.add(this.#ownRecord.info.nodeId, urgent, this.#nodeCount());
	}

	/** Clears a local suspicion after the member replied; a suspicion that was gossiped needs a refutation by the member. */
	#confirm(update: MemberUpdate): void {
		const member = this.#table.get(update.nodeId);
		if (member?.local && member.info.incarnation === update.incarnation) {
			this.#table.setState(member, 'alive', false, this.#pauseDetector.awakeNow);
		}
	}

	#suspect(target: NodeId): void {
		const member = this.#table.get(target);
		const local = !this.#detector.hasRecentAck(this.#pauseDetector.awakeNow);
		if (member?.state !== 'alive') {
			return;
		}

		this.#table.setState(member, 'suspect', local, this.#pauseDetector.awakeNow);
		if (!local) {
			this.#gossip.add(target, true, this.#nodeCount());
		}
	}

	/** After a pause of this process, suspects every member locally until it replies or a peer's member list confirms it. */
	#checkPause(now: Millis): void {
		if (!this.#pauseDetector.detectPause(now)) {
			return;
		}

		this.#pauses += 1;
		this.#freshAgainAt = now + maxFreshWaitMs;
		this.#detector.reset();
		const alive = this.#table.alive();
		for (const member of alive) {
			this.#table.setState(member, 'suspect', true, this.#pauseDetector.awakeNow);
		}

		const nonce = this.#syncSchedule.begin(now);
		for (const {info} of sample(alive, resyncFanout, this.#random)) {
			this.#send(info.nodeId, {type: 'sync-request', nonce});
		}
	}

	#sendUrgentGossip(): void {
		if (!this.#gossip.takeUrgentQueued()) {
			return;
		}

		const peers = sample(this.#table.present(), urgentFanout, this.#random);
		for (const {info} of peers) {
			this.#send(info.nodeId, {type: 'gossip', updates: this.#updatesFor(info.nodeId)});
		}
	}

	#syncIfDue(now: Millis): void {
		const [peer] = this.#syncSchedule.due(now) ? sample(this.#table.alive(), 1, this.#random) : [];
		if (peer) {
			const digest = this.#table.digest(this.#ownRecord.update(false));
			this.#send(peer.info.nodeId, {type: 'sync-request', nonce: this.#syncSchedule.begin(now), digest});
		}
	}

	#ping(target: NodeId, probe: number, now: Millis): void {
		const infoAcked = this.#infoAckedBy.get(target) === this.#table.get(target)?.info.incarnation;
		this.#send(target, {
			type: 'ping',
			probe,
			self: this.#ownRecord.update(!infoAcked),
			updates: this.#updatesFor(target),
			sumAges: this.#regionSummaries.ages(now),
		});
	}

	/** Queued updates for a peer. If the peer is believed suspect or dead, its own record comes first so that it can refute. */
	#updatesFor(peer: NodeId): MemberUpdate[] {
		const member = this.#table.get(peer);
		const refutable = member && !member.local && member.state !== 'alive' ? [this.#table.toUpdate(member, false)] : [];
		return [...refutable, ...this.#updatesOf(this.#gossip.take(updatesPerMessage), false)];
	}

	/** Records of the members among `nodeIds` that were heard from; with address data if `allInfo` is set or the member's sequence is 0. */
	#updatesOf(nodeIds: readonly NodeId[], allInfo: boolean): MemberUpdate[] {
		const own = this.#ownRecord.update(true);
		const members = nodeIds.map(nodeId => this.#table.get(nodeId)).filter(member => member !== undefined);
		return [
			...(nodeIds.includes(own.nodeId) ? [this.#ownRecord.update(allInfo || own.sequence === 0)] : []),
			...members
				.filter(({info}) => info.incarnation > 0)
				.map(member => this.#table.toUpdate(member, allInfo || member.sequence === 0)),
		];
	}

	#nodeCount(): number {
		return this.#table.all().length + 1;
	}

	#ownRegionState() {
		const nodes = [this.#ownRecord.view(), ...this.#table.alive()].map(({info, draining, revision, load}) => ({
			info, draining, revision, load,
		}));
		return {self: this.#ownRecord.info, nodes, services: this.#ownRecord.services};
	}

	#send(to: NodeId, body: MembershipMessage): void {
		this.#outbox.send(to, {part: 'membership', body});
	}
}
