import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {PoisonMessage} from './poison-message.ts';
import {PermitRound} from './permit-round.ts';
import type {SuspectTable} from './suspect-table.ts';

/** How long a grant is valid while its holder still collects grants from others, in milliseconds. */
const pendingGrantMs = 5000;

/** How long a grant to a node that runs its suspect is valid without renewal, in milliseconds. */
const heldGrantMs = 10_000;

/** Interval between two renewals of a permit in use, in milliseconds. */
const renewalIntervalMs = 2000;

/** Time after which a permit that is neither in use nor requested again is released, in milliseconds. */
const unusedPermitMs = 1000;

/** Largest number of permit requests of other regions that are relayed at the same time. */
const maxRelayed = 256;

type PermitRequest = Extract<PoisonMessage, {type: 'permit-request'}>;

type Options = {
	readonly self: NodeId;
	readonly table: SuspectTable;
	readonly peers: () => readonly NodeId[];
	/** Live entries of each other reachable region; one of each region relays messages to its own peers. */
	readonly remoteEntries: () => ReadonlyArray<readonly NodeId[]>;
	/** Targets on which this node runs a request with this fingerprint. */
	readonly running: (fingerprint: string) => readonly TargetId[];
	/** Suspects that this node runs, with their targets. */
	readonly runningSuspects: () => ReadonlyArray<{fingerprint: string; targetId: TargetId}>;
	readonly outbox: Outbox;
};

/** A permit of this node: first requested, then granted by all, then in use. */
type OwnPermit = {
	readonly targetId: TargetId;
	readonly round: PermitRound;
	requestedAt: Millis;
	inUse: boolean;
};

/**
 * Distributed mutual exclusion for suspects: at most one run of a suspect over the installation, and at most one
 * suspect on a target.
 *
 * A node that wants to run a suspect requests a permit from every live peer of its region and from one entry of each
 * reachable region, which asks its own peers. Each of them denies it while it refuses the content, runs it or runs a
 * suspect on the target, and while it has granted the content to another node or the target to another suspect.
 * Concurrent requests of two nodes are ordered by node id: the lower one wins. A lost message delays a permit but never
 * grants it.
 *
 * Not covered: the two sides of a network partition grant independently of each other, and a node grants again if it
 * heard nothing from the holder for longer than its grant is valid.
 */
export class PermitArbiter {
	readonly #options: Options;
	readonly #ownPermits = new Map<string, OwnPermit>();
	/** Grants to other nodes, by fingerprint. */
	readonly #grants = new Map<string, {holder: NodeId; targetId: TargetId; until: Millis}>();
	/** Requests of other regions that are relayed to this region's peers, by permit id. */
	readonly #relayed = new Map<string, {readonly request: PermitRequest; readonly from: NodeId; readonly round: PermitRound}>();
	#permitCount = 0;
	#renewedAt = 0 as Millis;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Requests a permit, or returns the state of a pending request; `denied` if the target or the content is taken. */
	requestPermit(fingerprint: string, targetId: TargetId, now: Millis): 'granted' | 'pending' | 'denied' {
		const own = this.#ownPermits.get(fingerprint);
		const otherTarget = own !== undefined && own.targetId !== targetId;
		if (otherTarget) {
			return 'denied';
		}

		if (this.#options.running(fingerprint).length > 0) {
			return 'denied';
		}

		const taken = this.#isTaken(fingerprint, targetId, this.#options.self, now);
		const denied = own?.round.denied ?? false;
		if (denied || taken) {
			this.#options.outbox.count('poison', 'permit_denied');
			this.release(fingerprint);
			return 'denied';
		}

		const permit = own ?? this.#startRound(fingerprint, targetId, now);
		permit.requestedAt = now;
		permit.round.send(now);
		return permit.round.complete() ? 'granted' : 'pending';
	}

	/** Marks a permit as in use: it is renewed and kept until `endRun` or `release`. */
	markInUse(fingerprint: string): void {
		const own = this.#ownPermits.get(fingerprint);
		if (own) {
			own.inUse = true;
			this.announceRunning(fingerprint, own.targetId);
		}
	}

	/** A suspect no longer runs on this node: drops its permit and tells the other nodes. */
	endRun(fingerprint: string): void {
		this.#ownPermits.delete(fingerprint);
		this.#broadcast({type: 'permit-released', holder: this.#options.self, fingerprint});
	}

	/** Releases this node's permit, if it has one. */
	release(fingerprint: string): void {
		if (this.#ownPermits.has(fingerprint)) {
			this.endRun(fingerprint);
		}
	}

	/** Tells the other nodes that this node runs a suspect, with or without a permit. */
	announceRunning(fingerprint: string, targetId: TargetId): void {
		this.#broadcast({
			type: 'permit-held', holder: this.#options.self, fingerprint, targetId,
		});
	}

	/** Targets that run a suspect of any node or are reserved for one. */
	reservedTargets(now: Millis): ReadonlySet<TargetId> {
		const held = [...this.#grants.values()].filter(grant => now < grant.until);
		const own = [...this.#ownPermits.values()];
		const running = this.#options.runningSuspects();
		return new Set([...held, ...own, ...running].map(({targetId}) => targetId));
	}

	/** Handles another node's request for a permit. */
	handleRequest(from: NodeId, request: PermitRequest, now: Millis): void {
		const {fingerprint} = request.suspect;
		if (!this.#mayGrant(fingerprint, request.targetId, request.holder, now)) {
			this.#reply(from, request, false, now);
			return;
		}

		this.#releaseConflicting(fingerprint, request.targetId);
		this.#grants.set(fingerprint, {holder: request.holder, targetId: request.targetId, until: now + pendingGrantMs as Millis});
		if (request.relay) {
			this.#relay(from, request, now);
		} else {
			this.#reply(from, request, true, now);
		}
	}

	/** Handles a reply to a request of this node, or to one that it relays. */
	handleReply(from: NodeId, reply: Extract<PoisonMessage, {type: 'permit-reply'}>, now: Millis): void {
		const own = this.#ownPermits.get(reply.fingerprint);
		if (own?.round.permitId === reply.permitId) {
			own.round.recordReply(from, reply.granted);
		}

		const relayed = this.#relayed.get(reply.permitId);
		if (relayed) {
			relayed.round.recordReply(from, reply.granted);
			this.#finishRelay(reply.permitId, now);
		}
	}

	/** Handles the notice that another node runs a suspect. */
	handleHeld(message: Extract<PoisonMessage, {type: 'permit-held'}>, now: Millis): void {
		const {fingerprint, holder, targetId} = message;
		this.#grants.set(fingerprint, {holder, targetId, until: now + heldGrantMs as Millis});
		if (message.relay) {
			this.#broadcastToPeers({...message, relay: false});
		}
	}

	/** Handles the notice that another node released its permit. */
	handleReleased(message: Extract<PoisonMessage, {type: 'permit-released'}>): void {
		if (this.#grants.get(message.fingerprint)?.holder === message.holder) {
			this.#grants.delete(message.fingerprint);
		}

		if (message.relay) {
			this.#broadcastToPeers({...message, relay: false});
		}
	}

	/** Releases unused permits, drops expired grants, resends relayed requests and renews permits in use. */
	tick(now: Millis): void {
		for (const [fingerprint, own] of this.#ownPermits) {
			if (!own.inUse && now - own.requestedAt >= unusedPermitMs) {
				this.release(fingerprint);
			}
		}

		for (const [fingerprint, grant] of this.#grants) {
			if (now >= grant.until) {
				this.#grants.delete(fingerprint);
			}
		}

		for (const [permitId, relayed] of this.#relayed) {
			relayed.round.send(now);
			this.#finishRelay(permitId, now);
		}

		if (now - this.#renewedAt >= renewalIntervalMs) {
			this.#renewedAt = now;
			for (const {fingerprint, targetId} of this.#options.runningSuspects()) {
				this.announceRunning(fingerprint, targetId);
			}
		}
	}

	#startRound(fingerprint: string, targetId: TargetId, now: Millis): OwnPermit {
		this.#permitCount += 1;
		const permitId = `${this.#options.self}/${this.#permitCount}`;
		const groups = () => [
			...this.#options.peers().map(peer => ({relay: false, members: [peer]})),
			...this.#options.remoteEntries().map(members => ({relay: true, members})),
		];
		const round = new PermitRound({
			permitId,
			groups,
			send: (to, relay) => {
				this.#sendRequest(to, {
					permitId, holder: this.#options.self, targetId, relay,
				}, fingerprint, now);
			},
		});
		const own = {
			targetId, round, requestedAt: now, inUse: false,
		};
		this.#ownPermits.set(fingerprint, own);
		return own;
	}

	#sendRequest(to: NodeId, request: Omit<PermitRequest, 'type' | 'suspect'>, fingerprint: string, now: Millis): void {
		const suspect = this.#options.table.digest(fingerprint, now);
		if (suspect) {
			this.#options.outbox.send(to, {part: 'poison', body: {type: 'permit-request', ...request, suspect}});
		}
	}

	/** Relays a request of another region to this region's peers. */
	#relay(from: NodeId, request: PermitRequest, now: Millis): void {
		if (!this.#relayed.has(request.permitId) && this.#relayed.size < maxRelayed) {
			const round = new PermitRound({
				permitId: request.permitId,
				groups: () => this.#options.peers().map(peer => ({relay: false, members: [peer]})),
				send: to => {
					this.#options.outbox.send(to, {part: 'poison', body: {...request, relay: false}});
				},
			});
			this.#relayed.set(request.permitId, {request, from, round});
		}

		this.#relayed.get(request.permitId)?.round.send(now);
		this.#finishRelay(request.permitId, now);
	}

	#finishRelay(permitId: string, now: Millis): void {
		const relayed = this.#relayed.get(permitId);
		if (!relayed) {
			return;
		}

		const {request, from, round} = relayed;
		if (round.denied || round.complete()) {
			this.#relayed.delete(permitId);
			this.#reply(from, request, !round.denied, now);
		} else if (round.expired(now)) {
			this.#relayed.delete(permitId);
		}
	}

	#reply(to: NodeId, request: PermitRequest, granted: boolean, now: Millis): void {
		const {permitId, suspect: {fingerprint}} = request;
		const suspect = this.#options.table.digest(fingerprint, now);
		this.#options.outbox.send(to, {
			part: 'poison', body: {
				type: 'permit-reply', permitId, fingerprint, granted, suspect,
			},
		});
	}

	#mayGrant(fingerprint: string, targetId: TargetId, holder: NodeId, now: Millis): boolean {
		const {running, table, runningSuspects, self} = this.#options;
		const refused = table.refusedForMs(fingerprint, now) > 0;
		const runsHere = running(fingerprint).length > 0 || runningSuspects().some(suspect => suspect.targetId === targetId);
		if (refused || runsHere || this.#isTaken(fingerprint, targetId, holder, now)) {
			return false;
		}

		const conflicting = this.#conflictingPermits(fingerprint, targetId);
		return conflicting.every(([, own]) => !own.round.complete() && holder < self);
	}

	/** Permits of this node for the same content or the same target. */
	#conflictingPermits(fingerprint: string, targetId: TargetId): ReadonlyArray<readonly [string, OwnPermit]> {
		return [...this.#ownPermits].filter(([other, own]) => other === fingerprint || own.targetId === targetId);
	}

	#releaseConflicting(fingerprint: string, targetId: TargetId): void {
		for (const [other] of this.#conflictingPermits(fingerprint, targetId)) {
			this.release(other);
		}
	}

	/** True if the content is granted to a node other than `holder`, or the target to another suspect; if `holder` is this node, its own permits count as well. */
	#isTaken(fingerprint: string, targetId: TargetId, holder: NodeId, now: Millis): boolean {
		for (const [other, grant] of this.#grants) {
			const sameContent = other === fingerprint && grant.holder !== holder;
			const sameTarget = other !== fingerprint && grant.targetId === targetId;
			if (now < grant.until && (sameContent || sameTarget)) {
				return true;
			}
		}

		return holder === this.#options.self && this.#conflictingPermits(fingerprint, targetId).some(([other]) => other !== fingerprint);
	}

	#broadcast(message: NoticeWithoutRelay): void {
		this.#broadcastToPeers({...message, relay: false});
		for (const [entry] of this.#options.remoteEntries()) {
			if (entry !== undefined) {
				this.#options.outbox.send(entry, {part: 'poison', body: {...message, relay: true}});
			}
		}
	}

	#broadcastToPeers(body: PoisonMessage): void {
		for (const peer of this.#options.peers()) {
			this.#options.outbox.send(peer, {part: 'poison', body});
		}
	}
}

type Notice = Extract<PoisonMessage, {type: 'permit-held' | 'permit-released'}>;
type NoticeWithoutRelay = Notice extends infer Kind ? Kind extends Notice ? Omit<Kind, 'relay'> : never : never;
