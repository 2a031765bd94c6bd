import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {SuspectDigest} from './suspect-digest.ts';
import type {SuspectTable} from './suspect-table.ts';

/** Interval between two sends of an unacknowledged record, in milliseconds. */
const resendMs = 250;

/** Sends of one record to one node; after them the record is left to the periodic exchange. */
const maxSends = 20;

/** Largest number of unacknowledged records per node; above it the oldest one is left to the periodic exchange. */
const maxPending = 256;

/** Number of entries of each other region that a record is sent to. */
const entriesPerRegion = 2;

type Options = {
	readonly table: SuspectTable;
	readonly peers: () => readonly NodeId[];
	/** Live entries of each other reachable region. */
	readonly remoteEntries: () => ReadonlyArray<readonly NodeId[]>;
	readonly outbox: Outbox;
};

type PendingRecord = {
	relay: boolean;
	version: number;
	sendCount: number;
	nextAt: Millis;
};

/** Replicates records of suspects to other nodes: sends them at once and resends them until each node has acknowledged. */
export class SuspectReplicator {
	readonly #table: SuspectTable;
	readonly #peers: () => readonly NodeId[];
	readonly #remoteEntries: () => ReadonlyArray<readonly NodeId[]>;
	readonly #outbox: Outbox;
	readonly #pending = new Map<NodeId, Map<string, PendingRecord>>();
	/** Newest acknowledged version by fingerprint and node; only for nodes passed to `ensureInformed`. */
	readonly #acknowledged = new Map<string, Map<NodeId, number>>();

	constructor(options: Options) {
		this.#table = options.table;
		this.#peers = options.peers;
		this.#remoteEntries = options.remoteEntries;
		this.#outbox = options.outbox;
	}

	/** Sends a changed record to the peers of this region and, with `toOtherRegions`, to `entriesPerRegion` entries of each other region, which relay it to their peers. */
	replicate(fingerprint: string, toOtherRegions: boolean, now: Millis): void {
		for (const nodeId of this.#peers()) {
			this.#add(nodeId, fingerprint, false, now);
		}

		if (toOtherRegions) {
			for (const nodeId of this.#remoteEntries().flatMap(entries => entries.slice(0, entriesPerRegion))) {
				this.#add(nodeId, fingerprint, true, now);
			}
		}

		this.#flush(now);
	}

	/** Whether a node has acknowledged the newest record of a suspect, or there is no record; otherwise sends it the record. */
	ensureInformed(fingerprint: string, nodeId: NodeId, now: Millis): boolean {
		const version = this.#table.version(fingerprint);
		const acknowledged = this.#acknowledged.get(fingerprint) ?? new Map<NodeId, number>();
		if (version === 0 || acknowledged.get(nodeId) === version) {
			return true;
		}

		acknowledged.set(nodeId, acknowledged.get(nodeId) ?? 0);
		this.#acknowledged.set(fingerprint, acknowledged);
		if (this.#pending.get(nodeId)?.get(fingerprint)?.version !== version) {
			this.#add(nodeId, fingerprint, true, now);
			this.#flush(now);
		}

		return false;
	}

	/** Handles a node's acknowledgement of records. */
	handleAcknowledgement(from: NodeId, known: ReadonlyArray<{fingerprint: string; version: number}>): void {
		const pending = this.#pending.get(from);
		for (const {fingerprint, version} of known) {
			if (pending?.get(fingerprint)?.version === version) {
				pending.delete(fingerprint);
			}

			const acknowledged = this.#acknowledged.get(fingerprint);
			if (acknowledged?.has(from)) {
				acknowledged.set(from, version);
			}
		}

		if (pending?.size === 0) {
			this.#pending.delete(from);
		}
	}

	/** Resends unacknowledged records, and drops those of unreachable nodes and of expired suspects. */
	tick(now: Millis): void {
		const reachable = new Set([...this.#peers(), ...this.#remoteEntries().flat()]);
		for (const nodeId of this.#pending.keys()) {
			if (!reachable.has(nodeId)) {
				this.#pending.delete(nodeId);
			}
		}

		for (const fingerprint of this.#acknowledged.keys()) {
			if (this.#table.version(fingerprint) === 0) {
				this.#acknowledged.delete(fingerprint);
			}
		}

		this.#flush(now);
	}

	#add(nodeId: NodeId, fingerprint: string, relay: boolean, now: Millis): void {
		const pending = this.#pending.get(nodeId) ?? new Map<string, PendingRecord>();
		pending.set(fingerprint, {
			relay, version: this.#table.version(fingerprint), sendCount: 0, nextAt: now,
		});
		if (pending.size > maxPending) {
			const [oldest] = pending.keys();
			pending.delete(oldest!);
		}

		this.#pending.set(nodeId, pending);
	}

	#flush(now: Millis): void {
		for (const [nodeId, pending] of this.#pending) {
			this.#send(nodeId, this.#due(pending, true, now), true);
			this.#send(nodeId, this.#due(pending, false, now), false);
			if (pending.size === 0) {
				this.#pending.delete(nodeId);
			}
		}
	}

	#due(pending: Map<string, PendingRecord>, relay: boolean, now: Millis): readonly SuspectDigest[] {
		const due: SuspectDigest[] = [];
		for (const [fingerprint, item] of pending) {
			if (item.relay !== relay || now < item.nextAt) {
				continue;
			}

			const digest = this.#table.digest(fingerprint, now);
			if (!digest || item.sendCount >= maxSends) {
				pending.delete(fingerprint);
				continue;
			}

			item.version = digest.version;
			item.sendCount += 1;
			item.nextAt = now + resendMs as Millis;
			due.push(digest);
		}

		return due;
	}

	#send(to: NodeId, suspects: readonly SuspectDigest[], relay: boolean): void {
		if (suspects.length > 0) {
			this.#outbox.send(to, {part: 'poison', body: {type: 'suspects', relay, suspects}});
		}
	}
}
