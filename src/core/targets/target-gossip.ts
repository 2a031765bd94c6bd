import type {Outbox} from '../common/outbox.ts';
import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import {encodeLoads} from './encode-loads.ts';
import type {LoadUpdate} from './load-update.ts';
import type {TargetRecord} from './target-record.ts';
import type {TargetsMessage} from './targets-message.ts';

/** Time between two digests. */
const roundMs = 250;

/** Entries that a digest goes to. */
const fanOut = 3;

/** Handles asked for in one message. */
const maxPulled = 256;

/**
 * Spreads news of targets between the entries of a region.
 *
 * With up to three other entries each one gets the news straight from the entry that heard the target.
 * With more, an entry passes each piece of news on once, to three entries chosen at random, so it reaches
 * about 94 of 100 entries within five rounds; an entry that missed a renewal asks for it before the lease ends.
 * A load has 15 bytes: 172 engines announcing once a second cost a node 172 x 15 x 3 x 0.94 = 7.3 KB a second
 * sent (and as much received), plus 12 messages a second of overhead and pulls for the missed 6 in 100.
 * Rounds of 500 ms were too slow for a lease of 3 s: most leases were near their end before news came.
 */
export class TargetGossip {
	readonly #self: NodeId;
	readonly #entries: () => readonly NodeId[];
	readonly #outbox: Outbox;
	readonly #random: Random;
	readonly #pending = new Map<TargetId, {record: TargetRecord; fullRecord: boolean}>();
	readonly #recordRequests = new Set<number>();
	readonly #loadRequests = new Set<number>();
	#nextRoundAt = 0 as Millis;

	constructor(options: {self: NodeId; entries: () => readonly NodeId[]; outbox: Outbox; random: Random}) {
		this.#self = options.self;
		this.#entries = options.entries;
		this.#outbox = options.outbox;
		this.#random = options.random;
	}

	/** The other entries of the region. */
	peers(): readonly NodeId[] {
		return this.#entries().filter(entry => entry !== this.#self);
	}

	/** Queues news for the next digest; `whole` if more than the load changed. */
	enqueue(record: TargetRecord, whole: boolean): void {
		if (!record.direct && this.peers().length <= fanOut) {
			return;
		}

		const queued = this.#pending.get(record.targetId);
		this.#pending.set(record.targetId, {record, fullRecord: whole || (queued?.fullRecord ?? false)});
	}

	/** Tells every entry at once that a target leaves. */
	broadcastLeaving(record: TargetRecord, now: Millis): void {
		const message: TargetsMessage = {type: 'leaving', record: toRelayedRecord(record, now)};
		for (const peer of this.peers()) {
			this.#send(peer, message);
		}
	}

	/** Asks with the next round for the full record behind a handle. */
	requestRecord(handle: number): void {
		if (this.#recordRequests.size < maxPulled) {
			this.#recordRequests.add(handle);
		}
	}

	/** Asks with the next round for a later load of a known record. */
	requestLoad(handle: number): void {
		if (this.#loadRequests.size < maxPulled) {
			this.#loadRequests.add(handle);
		}
	}

	/** Answers an entry that asked for full records and for loads. */
	sendDigestTo(to: NodeId, update: {whole: readonly TargetRecord[]; loads: readonly TargetRecord[]}, now: Millis): void {
		if (update.whole.length + update.loads.length > 0) {
			this.#send(to, digestMessage(update, now));
		}
	}

	/** Sends the digest and the pull of a round when it is due. */
	tick(now: Millis): void {
		if (now < this.#nextRoundAt) {
			return;
		}

		this.#nextRoundAt = Math.max(this.#nextRoundAt, now - roundMs) + roundMs as Millis;
		const peers = this.#choosePeers(fanOut);
		this.#sendDigest(peers, now);
		this.#sendPull();
		this.#pending.clear();
		this.#recordRequests.clear();
		this.#loadRequests.clear();
	}

	#sendDigest(peers: readonly NodeId[], now: Millis): void {
		if (this.#pending.size === 0) {
			return;
		}

		const pending = [...this.#pending.values()];
		const message = digestMessage({
			whole: pending.filter(item => item.fullRecord).map(item => item.record),
			loads: pending.filter(item => !item.fullRecord).map(item => item.record),
		}, now);
		for (const peer of peers) {
			this.#send(peer, message);
		}
	}

	#sendPull(): void {
		const [peer] = this.#choosePeers(1);
		if (peer !== undefined && this.#recordRequests.size + this.#loadRequests.size > 0) {
			this.#send(peer, {type: 'pull', unknown: [...this.#recordRequests], known: [...this.#loadRequests]});
		}
	}

	/** Different peers chosen at random. */
	#choosePeers(count: number): readonly NodeId[] {
		const peers = [...this.peers()];
		const chosen: NodeId[] = [];
		while (chosen.length < count && peers.length > 0) {
			const index = Math.floor(this.#random.next() * peers.length);
			chosen.push(...peers.splice(index, 1));
		}

		return chosen;
	}

	#send(to: NodeId, body: TargetsMessage): void {
		this.#outbox.send(to, {part: 'targets', body});
	}
}

function digestMessage(update: {whole: readonly TargetRecord[]; loads: readonly TargetRecord[]}, now: Millis): TargetsMessage {
	return {
		type: 'digest',
		records: update.whole.map(record => toRelayedRecord(record, now)),
		loads: encodeLoads(update.loads.map(record => toLoadUpdate(record, now))),
	};
}

/** The announcement without cache events, which stay with the entry that heard them. */
function toRelayedRecord(record: TargetRecord, now: Millis) {
	const {cache: _cache, ...announcement} = record.announcement;
	return {announcement, ageMs: now - record.heardAt};
}

function toLoadUpdate(record: TargetRecord, now: Millis): LoadUpdate {
	const {announcement} = record;
	return {
		handle: record.handle,
		sequence: announcement.sequence,
		running: announcement.load.running,
		queued: announcement.load.queued,
		heardAgeMs: now - record.heardAt,
		loadAgeMs: now - record.loadAt,
	};
}
