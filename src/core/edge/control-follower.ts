import {AwakeClock} from '../common/awake-clock.ts';
import type {ControlMessage} from '../control/control-message.ts';
import type {ControlPeer} from '../control/control-peer.ts';
import {controlTiming} from '../control/control-timing.ts';
import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import {rankByHash} from '../membership/rank-by-hash.ts';
import type {EntryStatus} from '../registry/entry-status.ts';

type Feed = ControlMessage & {type: 'feed'};
/** Position in a control node's registry up to which the entry has its targets. */
type FeedPosition = (ControlMessage & {type: 'follow'})['have'];

type ControlFollowerOptions = {
	readonly self: {readonly nodeId: NodeId; readonly region: Region};
	readonly seeds: readonly NodeId[];
	readonly outbox: Outbox;
	readonly status: (now: Millis) => EntryStatus;
	/** Log index of the newest routes state that the entry has applied. */
	readonly stateIndex: () => number;
	/** Log index of the newest change of blamed traits that the entry has. */
	readonly crashIndex: () => number;
	/** False while the entry starts and has no routes yet. */
	readonly isConfigured: () => boolean;
};

/**
 * Follows one control node, at first the seed that answers first, later preferably one of the own region, and switches to another if its feeds stop or if it is no
 * longer current with the replicated log. While it knows no other control node, it stays with one that is not current.
 * When its control node fails it asks several others, since the next one may be lost too, and follows the first that sends a current feed, which may be the one before.
 * While the entry has no routes it asks all control nodes that it knows, current or not, to compare what they have.
 * It returns to a node of the own region only once that has sent a current feed, so that it is never without one for it.
 */
export class ControlFollower {
	readonly #options: ControlFollowerOptions;
	readonly #awake = new AwakeClock();
	#peers: readonly ControlPeer[];
	#primary: NodeId | undefined;
	#followedSince = Number.NEGATIVE_INFINITY;
	#lastFeedAt = Number.NEGATIVE_INFINITY;
	#lastCurrentFeedAt = Number.NEGATIVE_INFINITY;
	/** Time, on the clock that stops with this process, of the primary's last feed, or at which it began to be followed. */
	#contactAt = Number.NEGATIVE_INFINITY;
	/** The same for its last current feed. */
	#currentContactAt = Number.NEGATIVE_INFINITY;
	#lastReportAt = Number.NEGATIVE_INFINITY;
	/** The control node of the own region that was asked for a feed, to return to it. */
	#candidate: NodeId | undefined;
	/** Position in the primary's registry; undefined until the first complete list. */
	#position: FeedPosition;
	readonly #avoidUntil = new Map<NodeId, number>();
	/** True from the failure of the primary until a control node has sent a current feed: the first one that does is followed. */
	#searching = false;
	/** Control nodes that the search has not asked yet, in order of preference. */
	#unasked: readonly NodeId[] = [];
	#lastAskedAt = Number.NEGATIVE_INFINITY;
	/** Time of the last feed of each control node, until the entry has routes. */
	readonly #heardAt = new Map<NodeId, Millis>();

	constructor(options: ControlFollowerOptions) {
		this.#options = options;
		this.#peers = options.seeds.map(nodeId => ({nodeId}));
	}

	/** The control node that is followed; undefined until the first tick. */
	get primary(): NodeId | undefined {
		return this.#primary;
	}

	/** All control nodes that are known. */
	get nodes(): readonly NodeId[] {
		return this.#peers.map(({nodeId}) => nodeId);
	}

	/** Time since the last feed, in milliseconds. */
	silenceMs(now: Millis): number {
		return now - this.#lastFeedAt;
	}

	/** Time since the last feed that was up to date with the replicated log, in milliseconds. */
	outdatedMs(now: Millis): number {
		return now - this.#lastCurrentFeedAt;
	}

	tick(now: Millis): void {
		this.#awake.step(now);
		if (this.#hasPrimaryFailed()) {
			this.#switchPrimary(now);
		}

		if (!this.#options.isConfigured() && now - this.#lastAskedAt >= controlTiming.statusIntervalMs) {
			this.#askSilent(now);
		} else if (this.#unasked.length > 0 && now - this.#lastAskedAt >= controlTiming.statusIntervalMs) {
			this.#askOthers(now);
		}

		if (now - this.#lastReportAt >= controlTiming.statusIntervalMs) {
			this.report(now);
		}
	}

	/** Sends the entry's status at once, for example when it starts to leave. */
	report(now: Millis): void {
		if (this.#primary === undefined) {
			return;
		}

		this.#lastReportAt = now;
		this.#sendStatus(this.#primary, {have: this.#position}, now);
	}

	/** Handles a feed; returns `whole` if its targets are the complete list, `changes` if they update the last one, and undefined if they must not be used. */
	handleFeed(from: NodeId, feed: Feed, now: Millis): 'whole' | 'changes' | undefined {
		this.#awake.step(now);
		this.#updatePeers(feed);
		this.#recordHeard(from, now);
		if (feed.current && from !== this.#primary && (from === this.#candidate || this.#searching)) {
			this.#takeOver(from, feed, now);
		} else if (this.#startsAt(from, feed)) {
			this.#adopt(from, now);
		}

		if (from !== this.#primary) {
			return undefined;
		}

		this.#lastFeedAt = now;
		this.#contactAt = this.#awake.now;
		if (feed.current) {
			this.#lastCurrentFeedAt = now;
			this.#currentContactAt = this.#awake.now;
			this.#searching = false;
			this.#unasked = [];
		}

		this.#askOwnRegion(now);
		// -1 marks a complete list.
		if (feed.from === -1) {
			const isAdopted = this.#position === undefined && this.#lastReportAt < this.#followedSince;
			this.#position = {epoch: feed.epoch, revision: feed.to};
			if (isAdopted) {
				// It was asked for one feed only.
				this.report(now);
			}

			return 'whole';
		}

		if (this.#position?.epoch !== feed.epoch || feed.from > this.#position.revision) {
			return undefined;
		}

		this.#position = {epoch: feed.epoch, revision: Math.max(feed.to, this.#position.revision)};
		return 'changes';
	}

	#hasPrimaryFailed(): boolean {
		if (this.#primary === undefined) {
			return true;
		}

		const {now} = this.#awake;
		const outOfDate = now - this.#currentContactAt > controlTiming.feedTimeoutMs;
		return now - this.#contactAt > controlTiming.feedTimeoutMs || (outOfDate && this.#peers.length > 1);
	}

	#switchPrimary(now: Millis): void {
		if (this.#primary !== undefined) {
			this.#avoidUntil.set(this.#primary, now + controlTiming.avoidFailedNodeMs);
		}

		const ranked = this.#rankedNodes(now);
		const next = ranked.find(nodeId => nodeId !== this.#primary) ?? ranked[0];
		if (next === undefined) {
			return;
		}

		const isStart = this.#primary === undefined;
		this.#follow(next, now);
		if (isStart) {
			this.#askSilent(now);
			return;
		}

		this.#searching = true;
		this.#unasked = ranked.filter(nodeId => nodeId !== next);
		this.#askOthers(now);
	}

	/** Asks the next control nodes of the search for one feed each. */
	#askOthers(now: Millis): void {
		for (const nodeId of this.#unasked.slice(0, controlTiming.nodesAskedAtOnce)) {
			// While the log has no leader all entries ask, and a whole list from each node would be of no use.
			this.#sendStatus(nodeId, {have: undefined, once: true, ifCurrent: true}, now);
		}

		this.#unasked = this.#unasked.slice(controlTiming.nodesAskedAtOnce);
		this.#lastAskedAt = now;
	}

	/** Asks all other control nodes that have not answered lately for one feed each, current or not: an entry that starts compares what they have. */
	#askSilent(now: Millis): void {
		for (const {nodeId} of this.#peers) {
			const silentMs = now - (this.#heardAt.get(nodeId) ?? Number.NEGATIVE_INFINITY);
			if (nodeId !== this.#primary && silentMs >= controlTiming.feedTimeoutMs - controlTiming.statusIntervalMs) {
				this.#sendStatus(nodeId, {have: undefined, once: true}, now);
			}
		}

		this.#lastAskedAt = now;
	}

	#recordHeard(from: NodeId, now: Millis): void {
		if (this.#options.isConfigured()) {
			this.#heardAt.clear();
		} else {
			this.#heardAt.set(from, now);
		}
	}

	/** Follows the sender of a current feed. One that has sent a whole list was asked for it and needs no second request. */
	#takeOver(from: NodeId, feed: Feed, now: Millis): void {
		if (from !== this.#candidate && feed.from === -1) {
			this.#adopt(from, now);
		} else {
			this.#follow(from, now);
		}
	}

	/** True for the feed of a control node that the entry should follow instead, as it starts: the first one to answer is the nearest, and one that is current is preferred to one that is not. */
	#startsAt(from: NodeId, {current}: Feed): boolean {
		const isFirst = this.#lastFeedAt === Number.NEGATIVE_INFINITY;
		const isFirstCurrent = current && this.#lastCurrentFeedAt === Number.NEGATIVE_INFINITY;
		return from !== this.#primary && (isFirst || isFirstCurrent);
	}

	/** Asks a control node of the own region that has not failed recently for a feed, to return to it. */
	#askOwnRegion(now: Millis): void {
		const {self} = this.#options;
		const current = this.#peers.find(({nodeId}) => nodeId === this.#primary);
		if (current?.region === self.region || now - this.#followedSince < controlTiming.avoidFailedNodeMs) {
			return;
		}

		const preferred = this.#rankedNodes(now).find(nodeId => this.#peers.some(peer => peer.nodeId === nodeId && peer.region === self.region));
		if (preferred !== undefined && (this.#avoidUntil.get(preferred) ?? 0) <= now) {
			this.#candidate = preferred;
			this.#avoidUntil.set(preferred, now + controlTiming.avoidFailedNodeMs);
			this.#sendStatus(preferred, {have: undefined}, now);
		}
	}

	#sendStatus(to: NodeId, {have, once, ifCurrent}: {have: FeedPosition; once?: boolean; ifCurrent?: boolean}, now: Millis): void {
		const {outbox, status, stateIndex, crashIndex} = this.#options;
		outbox.send(to, {
			part: 'control',
			body: {
				type: 'follow', status: status(now), have, stateIndex: stateIndex(), crashIndex: crashIndex(), once, ifCurrent, sentAt: now,
			},
		});
	}

	#follow(nodeId: NodeId, now: Millis): void {
		this.#adopt(nodeId, now);
		this.report(now);
	}

	/** Takes a control node for the one that is followed, without asking it for a feed. */
	#adopt(nodeId: NodeId, now: Millis): void {
		const {outbox} = this.#options;
		const silentMs = this.silenceMs(now);
		const outdatedMs = this.outdatedMs(now);
		outbox.event('control-followed', {
			control: nodeId,
			before: this.#primary,
			silentMs: Number.isFinite(silentMs) ? Math.round(silentMs) : undefined,
			outdatedMs: Number.isFinite(outdatedMs) ? Math.round(outdatedMs) : undefined,
			known: this.#peers.length,
		});
		this.#primary = nodeId;
		this.#candidate = undefined;
		this.#followedSince = now;
		this.#contactAt = this.#awake.now;
		this.#currentContactAt = this.#awake.now;
		this.#position = undefined;
	}

	/** Control nodes in order of preference: without a recent failure, own region, then by hash so that entries spread over them. */
	#rankedNodes(now: Millis): readonly NodeId[] {
		const {self} = this.#options;
		const hashed = rankByHash(this.#peers, ({nodeId}) => `${self.nodeId}:${nodeId}`);
		const cost = ({nodeId, region}: ControlPeer) => {
			const avoided = (this.#avoidUntil.get(nodeId) ?? 0) > now ? 2 : 0;
			return avoided + (region === self.region ? 0 : 1);
		};

		return hashed.toSorted((left, right) => cost(left) - cost(right)).map(({nodeId}) => nodeId);
	}

	/** Takes the list of a current node in place of the last one; a node that is not current may be cut off and not hear from those that are, so its list is only added. */
	#updatePeers({control, current}: Feed): void {
		const known = new Map([...(current ? [] : this.#peers), ...control].map(peer => [peer.nodeId, peer]));
		for (const nodeId of this.#options.seeds) {
			if (!known.has(nodeId)) {
				known.set(nodeId, this.#peers.find(peer => peer.nodeId === nodeId) ?? {nodeId});
			}
		}

		this.#peers = [...known.values()];
	}
}
