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
import {RegionSums} from './region-sums.ts';
import type {RegionView} from './region-view.ts';
import {sample} from './sample.ts';
import {SyncSchedule} from './sync-schedule.ts';

type MessageOf<Type extends MembershipMessage['type']> = Extract<MembershipMessage, {type: Type}>;

type ClusterMembershipOptions = {
	readonly self: NodeInfo;
	/** Nodes named by the settings of this process; their addresses win over gossiped ones. */
	readonly seeds?: readonly NodeInfo[];
	readonly outbox: Outbox;
	readonly random: Random;
	/** Pause between two rounds of probes, in milliseconds. @default 300 */
	readonly periodMs?: number;
	/** Members probed in each round. @default 2 */
	readonly probesPerPeriod?: number;
};

/** Records of others in one message. */
const updatesPerMessage = 16;
/** Members told at once of urgent news. */
const urgentFanout = 3;
/** Members asked for their whole list after a pause. */
const resyncCount = 3;
/** Longest wait for an answer of a peer after a pause, in milliseconds. */
const freshWaitMs = 1000;
/** Gossip membership: probes inside the region, sums between regions. */
export class ClusterMembership implements Membership {
	readonly #outbox: Outbox;
	readonly #random: Random;
	readonly #table: MemberTable;
	readonly #detector: FailureDetector;
	readonly #own: OwnRecord;
	readonly #gossip = new GossipQueue();
	readonly #pause = new PauseDetector();
	readonly #sums: RegionSums;
	readonly #sync = new SyncSchedule();
	/** Members that answered since they know this process's address data. */
	readonly #introduced = new Map<NodeId, number>();
	#freshAt: number | undefined;
	#pauses = 0;

	constructor({self, seeds = [], outbox, random, periodMs, probesPerPeriod}: ClusterMembershipOptions) {
		this.#own = new OwnRecord(self);
		this.#outbox = outbox;
		this.#random = random;
		const book = new AddressBook(seeds);
		this.#table = new MemberTable(book);
		this.#detector = new FailureDetector({random, periodMs, probesPerPeriod});
		this.#sums = new RegionSums({
			region: self.region, book, outbox, random,
		});
		for (const seed of seeds) {
			if (seed.region !== self.region) {
				this.#sums.addSeed(seed);
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
				this.#ping(message.target, this.#detector.help(from, message.probe, now), now);
				break;
			}

			case 'indirect-ack': {
				this.#merge(from, [message.target], now);
				if (this.#detector.ackedIndirectly(message.probe, message.target.nodeId)) {
					this.#confirm(message.target, now);
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
				this.#sums.handle(from, message, this.#ownRegion(), now);
				break;
			}
		}
	}

	tick(now: Millis): void {
		this.#checkPause(now);
		for (const step of this.#detector.tick(this.#table.all(), now)) {
			if (step.type === 'ping') {
				this.#ping(step.target, step.probe, now);
			} else if (step.type === 'ask') {
				this.#send(step.helper, {type: 'ping-request', probe: step.probe, target: step.target});
			} else {
				this.#suspect(step.target, now);
			}
		}

		for (const nodeId of this.#table.endSuspicions(now)) {
			this.#gossip.add(nodeId, true, this.#size());
		}

		this.#table.expire(now);
		this.#spreadUrgent();
		this.#compareLists(now);
		this.#sums.tick(this.#ownRegion(), now);
	}

	report(state: Parameters<Membership['report']>[0]): void {
		const news = this.#own.report(state);
		if (news !== 'none') {
			this.#spreadSelf(news === 'urgent');
		}
	}

	nodes(): readonly NodeView[] {
		return [this.#own.view(), ...this.#table.all().map(entry => this.#table.view(entry))];
	}

	node(nodeId: NodeId): NodeView | undefined {
		if (nodeId === this.#own.info.nodeId) {
			return this.#own.view();
		}

		const entry = this.#table.get(nodeId);
		return entry && this.#table.view(entry);
	}

	info(nodeId: NodeId): NodeInfo | undefined {
		if (nodeId === this.#own.info.nodeId) {
			return this.#own.info;
		}

		return this.#table.get(nodeId)?.info ?? this.#sums.info(nodeId);
	}

	regions(now: Millis): readonly RegionView[] {
		return [this.#sums.ownView(this.#ownRegion()), ...this.#sums.views(now)];
	}

	region(region: Region, now: Millis): RegionView | undefined {
		if (region === this.#own.info.region) {
			return this.#sums.ownView(this.#ownRegion());
		}

		return this.#sums.view(region, now);
	}

	ahead(revision: number): readonly NodeId[] {
		const near = this.#table.alive().map(entry => ({nodeId: entry.info.nodeId, revision: entry.revision}));
		return [...near, ...this.#sums.highest()]
			.filter(node => node.revision > revision)
			.sort((a, b) => b.revision - a.revision)
			.map(({nodeId}) => nodeId);
	}

	fresh(now: Millis): boolean {
		return this.#freshAt === undefined || now >= this.#freshAt;
	}

	#handlePing(from: NodeId, message: MessageOf<'ping'>, now: Millis): void {
		this.#merge(from, [message.self, ...message.updates], now);
		const newer = this.#sums.newerThan(message.sumAges, this.#size(), now);
		this.#send(from, {
			type: 'ack',
			probe: message.probe,
			self: this.#own.update(this.#introduced.get(from) !== message.self.incarnation),
			updates: this.#updatesFor(from),
			...(newer.length > 0 && {sums: newer}),
		});
	}

	#handleAck(from: NodeId, message: MessageOf<'ack'>, now: Millis): void {
		this.#introduced.set(from, message.self.incarnation);
		this.#merge(from, [message.self, ...message.updates], now);
		this.#sums.relayed(message.sums ?? [], now);
		if (!this.#detector.isCurrent(message.probe)) {
			return;
		}

		this.#confirm(message.self, now);
		this.#freshAt = undefined;
		const helper = this.#detector.acked(from, message.probe, now);
		if (helper) {
			this.#send(helper.requester, {type: 'indirect-ack', probe: helper.requestProbe, target: message.self});
		}
	}

	#handleSyncRequest(from: NodeId, message: MessageOf<'sync-request'>, now: Millis): void {
		if (message.digest === this.#table.digest(this.#own.update(false))) {
			return;
		}

		const updates = [this.#own.update(false), ...this.#table.updates()];
		this.#send(from, {type: 'sync', nonce: message.nonce, updates});
		if (message.digest !== undefined) {
			this.#sync.hurry(now);
		}
	}

	#handleSync(from: NodeId, message: MessageOf<'sync'>, now: Millis): void {
		this.#merge(from, message.updates, now);
		if (!this.#sync.isCurrent(message.nonce)) {
			return;
		}

		this.#freshAt = undefined;
		for (const update of message.updates) {
			if (update.state === 'alive') {
				this.#confirm(update, now);
			}
		}
	}

	/** Takes records; asks the sender for what is missing and queues what is news. */
	#merge(from: NodeId, updates: readonly MemberUpdate[], now: Millis): void {
		const unknown: NodeId[] = [];
		for (const update of updates.filter(({nodeId}) => nodeId === this.#own.info.nodeId)) {
			if (this.#own.refute(update)) {
				this.#spreadSelf(true);
			}
		}

		for (const update of updates.filter(({nodeId}) => nodeId !== this.#own.info.nodeId)) {
			const result = this.#table.merge(update, now);
			if (result === 'unknown') {
				unknown.push(update.nodeId);
			} else if (result !== 'ignored') {
				this.#gossip.add(update.nodeId, result === 'changed', this.#size());
			}
		}

		if (unknown.length > 0) {
			this.#sync.hurry(now);
			this.#send(from, {type: 'info-request', nodeIds: unknown});
		}
	}

	#spreadSelf(urgent: boolean): void {
		this.#gossip.add(this.#own.info.nodeId, urgent, this.#size());
	}

	/** A member answered: this node's own doubts about it are over. */
	#confirm(update: MemberUpdate, now: Millis): void {
		const entry = this.#table.get(update.nodeId);
		if (entry?.local && entry.info.incarnation === update.incarnation) {
			this.#table.mark(entry, 'alive', false, now);
		}
	}

	#suspect(target: NodeId, now: Millis): void {
		const entry = this.#table.get(target);
		const local = !this.#detector.trusted(now);
		if (entry?.state !== 'alive') {
			return;
		}

		this.#table.mark(entry, 'suspect', local, now);
		if (!local) {
			this.#gossip.add(target, true, this.#size());
		}
	}

	/** Doubts every member until it, or a member that was asked after the pause, confirms it. */
	#checkPause(now: Millis): void {
		if (!this.#pause.resumed(now)) {
			return;
		}

		this.#pauses += 1;
		this.#freshAt = now + freshWaitMs;
		this.#detector.reset();
		const alive = this.#table.alive();
		for (const entry of alive) {
			this.#table.mark(entry, 'suspect', true, now);
		}

		const nonce = this.#sync.begin(now);
		for (const {info} of sample(alive, resyncCount, this.#random)) {
			this.#send(info.nodeId, {type: 'sync-request', nonce});
		}
	}

	#spreadUrgent(): void {
		if (!this.#gossip.takeFresh()) {
			return;
		}

		const peers = sample(this.#table.present(), urgentFanout, this.#random);
		for (const {info} of peers) {
			this.#send(info.nodeId, {type: 'gossip', updates: this.#updatesFor(info.nodeId)});
		}
	}

	#compareLists(now: Millis): void {
		const [peer] = this.#sync.due(now) ? sample(this.#table.alive(), 1, this.#random) : [];
		if (peer) {
			const digest = this.#table.digest(this.#own.update(false));
			this.#send(peer.info.nodeId, {type: 'sync-request', nonce: this.#sync.begin(now), digest});
		}
	}

	#ping(target: NodeId, probe: number, now: Millis): void {
		const introduced = this.#introduced.get(target) === this.#table.get(target)?.info.incarnation;
		this.#send(target, {
			type: 'ping',
			probe,
			self: this.#own.update(!introduced),
			updates: this.#updatesFor(target),
			sumAges: this.#sums.ages(now),
		});
	}

	/** News for a peer; its own record comes first if it is not believed alive, so that it can refute. */
	#updatesFor(peer: NodeId): MemberUpdate[] {
		const entry = this.#table.get(peer);
		const doubted = entry && !entry.local && entry.state !== 'alive' ? [this.#table.toUpdate(entry, false)] : [];
		return [...doubted, ...this.#updatesOf(this.#gossip.take(updatesPerMessage), false)];
	}

	/** Records of the members among `nodeIds` that were heard of, with address data if it is asked for or they are new. */
	#updatesOf(nodeIds: readonly NodeId[], allInfo: boolean): MemberUpdate[] {
		const own = this.#own.update(true);
		const entries = nodeIds.map(nodeId => this.#table.get(nodeId)).filter(entry => entry !== undefined);
		return [
			...(nodeIds.includes(own.nodeId) ? [this.#own.update(allInfo || own.sequence === 0)] : []),
			...entries
				.filter(({info}) => info.incarnation > 0)
				.map(entry => this.#table.toUpdate(entry, allInfo || entry.sequence === 0)),
		];
	}

	#size(): number {
		return this.#table.all().length + 1;
	}

	#ownRegion() {
		const nodes = [this.#own.view(), ...this.#table.alive()].map(({info, draining, revision, load}) => ({
			info, draining, revision, load,
		}));
		return {self: this.#own.info, nodes, services: this.#own.services};
	}

	#send(to: NodeId, body: MembershipMessage): void {
		this.#outbox.send(to, {part: 'membership', body});
	}
}
