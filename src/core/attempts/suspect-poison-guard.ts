import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import {StateMemory} from '../memory/state-memory.ts';
import {RecentSet} from '../common/recent-set.ts';
import {partFingerprint} from './part-fingerprint.ts';
import {PermitArbiter} from './permit-arbiter.ts';
import type {PoisonGuard} from './poison-guard.ts';
import type {PoisonMessage} from './poison-message.ts';
import type {SuspectDigest} from './suspect-digest.ts';
import {SuspectReplicator} from './suspect-replicator.ts';
import {SuspectTable} from './suspect-table.ts';

/** Interval of the periodic exchange, which sends records to one other node at a time, in milliseconds. */
const exchangeMs = 2000;

/** Largest number of records in one periodic exchange, and in the reply to a node that has just started. */
const recordsPerExchange = 32;
const recordsAfterStart = 256;

/** Time after a complete answer during which the parts of its prompt are not blamed, in milliseconds, and the largest number of parts remembered for that. */
const recentlyServedMs = 5000;
const maxServedParts = 4096;

/** Rounds in which a node that has just started queries others for their records. */
const startupQueryRounds = 3;
/** Nodes queried in each of these rounds. */
const nodesPerStartupQuery = 3;
/** Interval between two of these rounds, in milliseconds. */
const startupQueryIntervalMs = 500;

type Options = {
	readonly self: NodeId;
	/** Live entries of this node's region, without itself. */
	readonly peers: () => readonly NodeId[];
	/** Live entries of each other reachable region. */
	readonly remoteEntries: () => ReadonlyArray<readonly NodeId[]>;
	readonly outbox: Outbox;
	/** Owner of the state that is kept for callers. @default one with the default bounds */
	readonly state?: StateMemory;
	/** Largest number of suspects kept. @default 4096 */
	readonly maxSuspects?: number;
	/** How long a request stays a suspect after its record last changed, in milliseconds. @default 600_000 */
	readonly suspectMs?: number;
	/** How long a request that is blamed for two crashes is refused, in milliseconds. @default 3_600_000 */
	readonly refuseMs?: number;
};

/**
 * Poison guard of one entry. A request that was in flight on a target when the target crashed becomes a suspect,
 * identified by the fingerprint of its content. Its record is replicated at once to the region's peers and, through
 * entries that relay it, to the other regions. A suspect runs only under a permit of the `PermitArbiter`, so at most
 * once at a time over the installation; after a second crash it is refused everywhere, and a complete answer clears it.
 * Parts of prompts, which requests that differ otherwise share, are blamed in the same way and refused after a third crash.
 * Once a request is refused, those that were in flight with it during its crashes run without restriction again.
 *
 * Memory: at most `maxSuspects` records of a few hundred bytes, one entry for each attempt in flight, and one grant for
 * each suspect that runs on another node.
 */
export class SuspectPoisonGuard implements PoisonGuard {
	readonly #peers: Options['peers'];
	readonly #remoteEntries: Options['remoteEntries'];
	readonly #outbox: Outbox;
	readonly #table: SuspectTable;
	readonly #replicator: SuspectReplicator;
	readonly #arbiter: PermitArbiter;
	/** Number of attempts in flight on this node by fingerprint and target, of suspects and of other requests. */
	readonly #running = new Map<string, Map<TargetId, number>>();
	readonly #servedParts: RecentSet<string>;
	#startupQueries = 0;
	#queriedAt = Number.NEGATIVE_INFINITY;
	#exchangeCount = 0;
	#exchangedAt = 0 as Millis;

	constructor(options: Options) {
		this.#peers = options.peers;
		this.#remoteEntries = options.remoteEntries;
		this.#outbox = options.outbox;
		const {state = new StateMemory()} = options;
		this.#servedParts = new RecentSet({budget: state.budget('served-traits'), keepMs: recentlyServedMs, maxSize: maxServedParts});
		this.#table = new SuspectTable(options);
		const {self, peers, remoteEntries, outbox} = options;
		const table = this.#table;
		this.#replicator = new SuspectReplicator({
			table, peers, remoteEntries, outbox,
		});
		this.#arbiter = new PermitArbiter({
			self,
			table,
			peers,
			remoteEntries,
			outbox,
			running: fingerprint => [...this.#running.get(fingerprint)?.keys() ?? []],
			runningSuspects: () => this.#runningSuspects(),
		});
	}

	classify(fingerprint: string, now: Millis): ReturnType<PoisonGuard['classify']> {
		const retryAfterMs = this.#table.refusedForMs(fingerprint, now);
		if (retryAfterMs > 0) {
			return {type: 'refused', retryAfterMs};
		}

		return {type: this.#table.isSuspect(fingerprint) ? 'alone' : 'free'};
	}

	targetsWithSuspects(now: Millis): ReadonlySet<TargetId> {
		return this.#arbiter.reservedTargets(now);
	}

	isCrashSuspected(targetId: TargetId, incarnation: number): boolean {
		return this.#table.size > 0 && this.#table.isBlamed(crashKey(targetId, incarnation));
	}

	requestPermit(fingerprint: string, targetId: TargetId, now: Millis): 'granted' | 'pending' | 'denied' {
		return this.#arbiter.requestPermit(fingerprint, targetId, now);
	}

	ensureInformed(fingerprint: string, nodeId: NodeId, now: Millis): boolean {
		return this.#replicator.ensureInformed(fingerprint, nodeId, now);
	}

	attemptStarted(fingerprint: string, targetId: TargetId, _now: Millis): void {
		const targets = this.#running.get(fingerprint) ?? new Map<TargetId, number>();
		targets.set(targetId, (targets.get(targetId) ?? 0) + 1);
		this.#running.set(fingerprint, targets);
		this.#arbiter.markInUse(fingerprint);
	}

	attemptStopped(fingerprint: string, targetId: TargetId, _now: Millis): void {
		const targets = this.#running.get(fingerprint);
		const count = targets?.get(targetId) ?? 0;
		if (count > 1) {
			targets!.set(targetId, count - 1);
			return;
		}

		targets?.delete(targetId);
		if (targets?.size === 0) {
			this.#running.delete(fingerprint);
			this.#endSuspect(fingerprint);
		}
	}

	attemptSucceeded(fingerprint: string, _targetId: TargetId, now: Millis): void {
		if (partFingerprint.is(fingerprint)) {
			this.#servedParts.add(fingerprint, now);
		}

		if (this.#table.absolve(fingerprint, now)) {
			this.#outbox.count('poison', 'cleared');
			this.#replicator.replicate(fingerprint, true, now);
		}
	}

	targetCrashed(targetId: TargetId, incarnation: number, fingerprints: readonly string[], now: Millis): void {
		// A part that requests were served with lately is not the cause.
		for (const fingerprint of fingerprints.filter(candidate => !this.#servedParts.has(candidate, now))) {
			if (this.#table.addCrash(fingerprint, crashKey(targetId, incarnation), now)) {
				this.#outbox.count('poison', this.#table.refusedForMs(fingerprint, now) > 0 ? 'refused' : 'suspect');
				this.#recordChanged(fingerprint, true, now);
			}
		}
	}

	targetSurvived(targetId: TargetId, incarnation: number, now: Millis): void {
		const crash = crashKey(targetId, incarnation);
		for (const fingerprint of this.#table.suspectsBlamedFor(crash)) {
			this.#table.absolveCrash(fingerprint, crash, now);
			this.#outbox.count('poison', 'survived');
			this.#replicator.replicate(fingerprint, true, now);
		}
	}

	handle(from: NodeId, message: PoisonMessage, now: Millis): void {
		switch (message.type) {
			case 'suspects': {
				this.#handleSuspects(from, message, now);
				break;
			}

			case 'suspects-wanted': {
				this.#sendNewest(from, recordsAfterStart, now);
				break;
			}

			case 'suspects-known': {
				this.#replicator.handleAcknowledgement(from, message.known);
				break;
			}

			case 'permit-request': {
				this.#merge(message.suspect, false, now);
				this.#arbiter.handleRequest(from, message, now);
				break;
			}

			case 'permit-reply': {
				if (message.suspect) {
					this.#merge(message.suspect, false, now);
				}

				this.#arbiter.handleReply(from, message, now);
				break;
			}

			case 'permit-held': {
				this.#arbiter.handleHeld(message, now);
				break;
			}

			case 'permit-released': {
				this.#arbiter.handleReleased(message);
				break;
			}
		}
	}

	tick(now: Millis): void {
		this.#table.expire(now);
		this.#replicator.tick(now);
		this.#arbiter.tick(now);
		if (this.#startupQueries < startupQueryRounds && now - this.#queriedAt >= startupQueryIntervalMs) {
			this.#queryOtherNodes(now);
		}

		if (now - this.#exchangedAt >= exchangeMs) {
			this.#exchangedAt = now;
			this.#exchange(now);
		}
	}

	/** Tells the other nodes that a request ended: always if it is blamed for a crash, since it may have run without a permit, otherwise only if it holds one. */
	#endSuspect(fingerprint: string): void {
		if (this.#table.blamedCrashCount(fingerprint) > 0) {
			this.#arbiter.endRun(fingerprint);
		} else {
			this.#arbiter.release(fingerprint);
		}
	}

	#handleSuspects(from: NodeId, message: Extract<PoisonMessage, {type: 'suspects'}>, now: Millis): void {
		for (const suspect of message.suspects) {
			this.#merge(suspect, message.relay, now);
		}

		const known = message.suspects.map(({fingerprint, version}) => ({fingerprint, version}));
		this.#outbox.send(from, {part: 'poison', body: {type: 'suspects-known', known}});
	}

	#merge(digest: SuspectDigest, relay: boolean, now: Millis): void {
		if (!this.#table.merge(digest, now)) {
			return;
		}

		this.#recordChanged(digest.fingerprint, false, now);
		if (relay) {
			this.#replicator.replicate(digest.fingerprint, false, now);
		}
	}

	/** After a record changed: replicates it if this node changed it, and announces the targets on which this node runs the request. */
	#recordChanged(fingerprint: string, changedHere: boolean, now: Millis): void {
		if (changedHere) {
			this.#replicator.replicate(fingerprint, true, now);
		}

		for (const targetId of this.#running.get(fingerprint)?.keys() ?? []) {
			this.#arbiter.announceRunning(fingerprint, targetId);
		}
	}

	#runningSuspects(): ReadonlyArray<{fingerprint: string; targetId: TargetId}> {
		const suspects: Array<{fingerprint: string; targetId: TargetId}> = [];
		if (this.#table.size === 0) {
			return suspects;
		}

		for (const [fingerprint, targets] of this.#running) {
			if (this.#table.isSuspect(fingerprint)) {
				suspects.push(...[...targets.keys()].map(targetId => ({fingerprint, targetId})));
			}
		}

		return suspects;
	}

	/** After the start, queries a few nodes for their records, those of this region first. */
	#queryOtherNodes(now: Millis): void {
		const others = [...this.#peers(), ...this.#remoteEntries().flat()];
		if (others.length === 0) {
			return;
		}

		this.#startupQueries += 1;
		this.#queriedAt = now;
		for (const to of others.slice(0, nodesPerStartupQuery)) {
			this.#outbox.send(to, {part: 'poison', body: {type: 'suspects-wanted'}});
		}
	}

	/** Sends the newest records to the next node in turn, in case messages were lost. */
	#exchange(now: Millis): void {
		const others = [...this.#peers(), ...this.#remoteEntries().flat()];
		const to = others[this.#exchangeCount % others.length];
		this.#exchangeCount += 1;
		if (to !== undefined) {
			this.#sendNewest(to, recordsPerExchange, now);
		}
	}

	#sendNewest(to: NodeId, limit: number, now: Millis): void {
		const suspects = this.#table.newest(limit)
			.map(fingerprint => this.#table.digest(fingerprint, now))
			.filter(digest => digest !== undefined);
		if (suspects.length > 0) {
			this.#outbox.send(to, {part: 'poison', body: {type: 'suspects', relay: false, suspects}});
		}
	}
}

function crashKey(targetId: TargetId, incarnation: number): string {
	return `${targetId}@${incarnation}`;
}
