import type {Millis} from '../ids/millis.ts';
import type {ConnectionKind} from './connection-kind.ts';

/** `fresh`: the head of its first request has not arrived; `idle`: all requests are answered; `receiving`: a body is being received; `busy`: a request is in progress. */
type Stage = 'fresh' | 'idle' | 'receiving' | 'busy';

type Held = {readonly kind: ConnectionKind; readonly address: string; stage: Stage; since: Millis};

/** Connections of one kind in one stage, by address, each in the order in which they came to the stage. */
type ByAddress<Connection> = Map<string, Set<Connection>>;

/** Share of the connections that no other kind can take, where a process accepts those of the kind. */
const reservedShares: Readonly<Record<ConnectionKind, number>> = {
	callers: 0.3, entries: 0.3, operators: 0.3, directory: 0.2, status: 0.05,
};

/** Time that a new connection has for its first request, in milliseconds; it matters only while there are too many. */
const freshMs = 250;

/** Stages in the order in which their connections are closed, and for how long they have been in it at least, in milliseconds. */
const evictions: ReadonlyArray<{readonly stage: Stage; readonly afterMs: number}> = [
	{stage: 'fresh', afterMs: freshMs},
	{stage: 'idle', afterMs: 0},
	{stage: 'receiving', afterMs: 0},
	{stage: 'fresh', afterMs: 0},
];

/**
 * Counts the connections that the servers of a process have accepted, and decides which are closed when there are too many.
 *
 * Load pattern: clients open more connections than the process has descriptors, send nothing, a part of a request or one
 * request on each, and keep them open. An ordinary connection sends its request soon after it was opened. Those are
 * closed first that have waited too long for their first request, then those that have been idle longest, then those
 * whose body is not whole, and new ones last; each time the oldest of the address with most. One with a request in
 * progress is not closed.
 */
export class HeldConnections<Connection> {
	readonly #connections = new Map<Connection, Held>();
	readonly #counts = new Map<ConnectionKind, number>();
	readonly #byStage = new Map<ConnectionKind, Readonly<Record<Stage, ByAddress<Connection>>>>();

	/** @param maxCount - Number of connections that the process may have accepted. */
	constructor(readonly maxCount: number) {}

	get size(): number {
		return this.#connections.size;
	}

	/** Records that the process accepts connections of a kind, which keeps others from taking all. */
	open(kind: ConnectionKind): void {
		if (!this.#counts.has(kind)) {
			this.#counts.set(kind, 0);
			this.#byStage.set(kind, {
				fresh: new Map(), idle: new Map(), receiving: new Map(), busy: new Map(),
			});
		}
	}

	/** Takes a new connection; returns the one that has to be closed for it, which may be the new one itself. */
	add(connection: Connection, {kind, address}: {readonly kind: ConnectionKind; readonly address: string}, now: Millis): Connection | undefined {
		this.open(kind);
		const isKindFull = this.#countOf(kind) >= this.#maxOf(kind);
		let victim: Connection | undefined;
		if (isKindFull || this.#connections.size >= this.maxCount) {
			const others = isKindFull ? [] : [...this.#counts.keys()].filter(other => other !== kind && this.#countOf(other) > this.#reservedOf(other));
			victim = this.#victim([kind, ...others], now);
			if (victim === undefined) {
				return connection;
			}

			this.delete(victim);
		}

		const held = {
			kind, address, stage: 'fresh' as const, since: now,
		};
		this.#connections.set(connection, held);
		this.#enter(connection, held);
		this.#counts.set(kind, this.#countOf(kind) + 1);
		return victim;
	}

	/** Records what a connection does from now on. */
	set(connection: Connection, stage: Exclude<Stage, 'fresh'>, now: Millis): void {
		const held = this.#connections.get(connection);
		if (held !== undefined) {
			this.#leave(connection, held);
			held.stage = stage;
			held.since = now;
			this.#enter(connection, held);
		}
	}

	delete(connection: Connection): void {
		const held = this.#connections.get(connection);
		if (held !== undefined) {
			this.#leave(connection, held);
			this.#connections.delete(connection);
			this.#counts.set(held.kind, this.#countOf(held.kind) - 1);
		}
	}

	#countOf(kind: ConnectionKind): number {
		return this.#counts.get(kind) ?? 0;
	}

	#reservedOf(kind: ConnectionKind): number {
		return Math.max(1, Math.floor(reservedShares[kind] * this.maxCount));
	}

	/** Number of connections of a kind that leaves the others what is reserved for them. */
	#maxOf(kind: ConnectionKind): number {
		let max = this.maxCount;
		for (const other of this.#counts.keys()) {
			max -= other === kind ? 0 : this.#reservedOf(other);
		}

		return max;
	}

	#enter(connection: Connection, {kind, stage, address}: Held): void {
		const byAddress = this.#byStage.get(kind)![stage];
		const ofAddress = byAddress.get(address) ?? new Set();
		byAddress.set(address, ofAddress.add(connection));
	}

	#leave(connection: Connection, {kind, stage, address}: Held): void {
		const byAddress = this.#byStage.get(kind)![stage];
		const ofAddress = byAddress.get(address)!;
		ofAddress.delete(connection);
		if (ofAddress.size === 0) {
			byAddress.delete(address);
		}
	}

	/** Connection of some kinds that is closed first. */
	#victim(kinds: readonly ConnectionKind[], now: Millis): Connection | undefined {
		for (const {stage, afterMs} of evictions) {
			let found: {readonly connection: Connection; readonly ofAddress: number; readonly since: Millis} | undefined;
			for (const connections of kinds.flatMap(kind => [...this.#byStage.get(kind)![stage].values()])) {
				const [connection] = connections;
				const {since} = this.#connections.get(connection!)!;
				const ofAddress = connections.size;
				if (now - since < afterMs) {
					continue;
				}

				if (found === undefined || ofAddress > found.ofAddress || (ofAddress === found.ofAddress && since < found.since)) {
					found = {connection: connection!, ofAddress, since};
				}
			}

			if (found !== undefined) {
				return found.connection;
			}
		}

		return undefined;
	}
}
