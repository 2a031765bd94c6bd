import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import {PermitArbiter} from './permit-arbiter.ts';
import type {PoisonGuard} from './poison-guard.ts';
import type {PoisonMessage} from './poison-message.ts';
import type {SuspectDigest} from './suspect-digest.ts';
import {SuspectReplicator} from './suspect-replicator.ts';
import {SuspectTable} from './suspect-table.ts';

/** Between two periodic exchanges of records with one other node, in milliseconds. */
const exchangeMs = 2000;

/** Records in one periodic exchange, and in the answer to a node that was just started. */
const recordsPerExchange = 32;
const recordsAfterStart = 256;

/** Rounds of questions after the start, the nodes asked in each, and the time between two, in milliseconds. */
const startupQueryRounds = 3;
const nodesPerStartupQuery = 3;
const startupQueryIntervalMs = 500;

type Options = {
	readonly self: NodeId;
	/** Live entries of this node's region without itself. */
	readonly peers: () => readonly NodeId[];
	/** For each other region that can be reached: a few of its live entries. */
	readonly delegates: () => ReadonlyArray<readonly NodeId[]>;
	readonly outbox: Outbox;
	/** Suspects remembered at most. @default 4096 */
	readonly maxSuspects?: number;
	/** How long an unproven suspicion stands, in milliseconds. @default 600_000 */
	readonly suspectMs?: number;
	/** How long a request that crashed two targets is refused, in milliseconds. @default 3_600_000 */
	readonly refuseMs?: number;
};

/**
 * Poison guard of one entry. A request that was in flight on a target when it crashed becomes a suspect,
 * known by its content's fingerprint. Records are shared at once with the region and, by delegates, with
 * the other regions. A suspect runs only under a permit of the `PermitArbiter`, so one run at a time over
 * the installation; a second crash gets it refused everywhere, a whole answer clears it. Once a request is
 * refused, those that were in flight with it at its crashes run as usual again.
 *
 * Memory: at most `maxSuspects` records of a few hundred bytes, one entry for each attempt in flight, and
 * one grant for each suspect that runs elsewhere.
 */
export class SuspectPoisonGuard implements PoisonGuard {
	readonly #peers: Options['peers'];
	readonly #delegates: Options['delegates'];
	readonly #outbox: Outbox;
	readonly #table: SuspectTable;
	readonly #replicator: SuspectReplicator;
	readonly #arbiter: PermitArbiter;
	/** Attempts of this node by content and target, suspects or not. */
	readonly #running = new Map<string, Map<TargetId, number>>();
	#startupQueries = 0;
	#queriedAt = Number.NEGATIVE_INFINITY;
	#exchangeCount = 0;
	#exchangedAt = 0 as Millis;

	constructor(options: Options) {
		this.#peers = options.peers;
		this.#delegates = options.delegates;
		this.#outbox = options.outbox;
		this.#table = new SuspectTable(options);
		const {self, peers, delegates, outbox} = options;
		const table = this.#table;
		this.#replicator = new SuspectReplicator({
			table, peers, delegates, outbox,
		});
		this.#arbiter = new PermitArbiter({
			self,
			table,
			peers,
			delegates,
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
		if (this.#table.absolve(fingerprint, now)) {
			this.#outbox.count('poison', 'cleared');
			this.#replicator.replicate(fingerprint, true, now);
		}
	}

	targetCrashed(targetId: TargetId, incarnation: number, fingerprints: readonly string[], now: Millis): void {
		for (const fingerprint of fingerprints) {
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

	/** A record is news here: the others learn where such a request runs, and of the record if it is this node's own. */
	#recordChanged(fingerprint: string, own: boolean, now: Millis): void {
		if (own) {
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

	/** After the start: asks a few nodes, the region's own first, for what they know. */
	#queryOtherNodes(now: Millis): void {
		const others = [...this.#peers(), ...this.#delegates().flat()];
		if (others.length === 0) {
			return;
		}

		this.#startupQueries += 1;
		this.#queriedAt = now;
		for (const to of others.slice(0, nodesPerStartupQuery)) {
			this.#outbox.send(to, {part: 'poison', body: {type: 'suspects-wanted'}});
		}
	}

	/** Sends the newest records to one node in turn, in case that messages were lost. */
	#exchange(now: Millis): void {
		const others = [...this.#peers(), ...this.#delegates().flat()];
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
