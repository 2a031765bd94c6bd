import type {Outbox} from '../common/outbox.ts';
import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import {encodeLoads} from './encode-loads.ts';
import type {LoadUpdate} from './load-update.ts';
import type {TargetRecord} from './target-record.ts';
import type {TargetsMessage} from './targets-message.ts';

/** Interval between digests, in milliseconds. */
const roundMs = 250;

/** Number of entries that a digest is sent to. */
const fanOut = 3;

/** Largest number of handles of each kind (records, loads) in one `pull` message. */
const maxPulled = 256;

/**
 * Gossips target updates between the entries of a region.
 *
 * With up to three other entries, each of them gets an update directly from the entry that received the announcement.
 * With more, an entry forwards each update once, to three entries chosen at random. An update then reaches
 * about 94 of 100 entries within five rounds; an entry that missed a renewal requests it before the lease ends.
 *
 * A load takes 15 bytes: 172 engines that announce once a second cost a node 172 x 15 x 3 x 0.94 = 7.3 KB per second
 * sent (and as much received), plus the overhead of 12 messages per second and the pulls for the missed 6 in 100.
 * Rounds of 500 ms are too slow for a lease of 3 s: most leases are close to their end before an update arrives.
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

	/** Queues a record for the next digest: in full with `fullRecord`, when more than the load changed, else as a compact load. */
	enqueue(record: TargetRecord, fullRecord: boolean): void {
		if (!record.direct && this.peers().length <= fanOut) {
			return;
		}

		const queued = this.#pending.get(record.targetId);
		this.#pending.set(record.targetId, {record, fullRecord: fullRecord || (queued?.fullRecord ?? false)});
	}

	/** Sends a `leaving` message for a target to every other entry at once. */
	broadcastLeaving(record: TargetRecord, now: Millis): void {
		const message: TargetsMessage = {type: 'leaving', record: toRelayedRecord(record, now)};
		for (const peer of this.peers()) {
			this.#send(peer, message);
		}
	}

	/** Requests the full record of a handle in the next round. */
	requestRecord(handle: number): void {
		if (this.#recordRequests.size < maxPulled) {
			this.#recordRequests.add(handle);
		}
	}

	/** Requests a later load of a known record in the next round. */
	requestLoad(handle: number): void {
		if (this.#loadRequests.size < maxPulled) {
			this.#loadRequests.add(handle);
		}
	}

	/** Replies to a `pull` with full records and loads; sends nothing if both are empty. */
	sendDigestTo(to: NodeId, update: {fullRecords: readonly TargetRecord[]; loads: readonly TargetRecord[]}, now: Millis): void {
		if (update.fullRecords.length + update.loads.length > 0) {
			this.#send(to, digestMessage(update, now));
		}
	}

	/** Sends the digest and the `pull` message of a round when it is due. */
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
			fullRecords: pending.filter(item => item.fullRecord).map(item => item.record),
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

	/** Chooses up to `count` distinct peers at random. */
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

function digestMessage(update: {fullRecords: readonly TargetRecord[]; loads: readonly TargetRecord[]}, now: Millis): TargetsMessage {
	return {
		type: 'digest',
		records: update.fullRecords.map(record => toRelayedRecord(record, now)),
		loads: encodeLoads(update.loads.map(record => toLoadUpdate(record, now))),
	};
}

/** The announcement without its cache events, which only the entry that received them uses. */
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
