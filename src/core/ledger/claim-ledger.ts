import type {LoadedJournal} from '../common/loaded-journal.ts';
import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {Membership} from '../membership/membership.ts';
import {StateMemory} from '../memory/state-memory.ts';
import {ClaimCoordinator} from './claim-coordinator.ts';
import {ClaimHandOver} from './claim-hand-over.ts';
import type {ClaimId} from './claim-id.ts';
import type {ClaimRequest} from './claim-request.ts';
import {ClaimStore} from './claim-store.ts';
import type {KeeperSet} from './keeper-set.ts';
import {KeeperReplica} from './keeper-replica.ts';
import {LedgerJournal} from './ledger-journal.ts';
import type {StoredAnswer} from './stored-answer.ts';
import type {Ledger} from './ledger.ts';
import type {LedgerMessage} from './ledger-message.ts';
import type {LedgerRecord} from './ledger-record.ts';

type ClaimLedgerOptions = {
	readonly self: NodeId;
	readonly region: Region;
	/** Start time of this process, which identifies it. */
	readonly incarnation: number;
	readonly hasDisk: boolean;
	/** Records read from the journal `ledger`. */
	readonly loadedJournal?: LoadedJournal<LedgerRecord>;
	readonly outbox: Outbox;
	/** Used to look up whether the coordinator of another claim still runs, under which incarnation other nodes know this one, and which nodes of the region stay. */
	readonly membership: Pick<Membership, 'node' | 'nodes'>;
	/** Start time, on the clock of the `now` arguments. */
	readonly now: Millis;
	/** Owner of the state that is kept for callers. @default one with the default bounds */
	readonly state?: StateMemory;
	/** Maximum number of keys that this node stores as a keeper. @default 100_000 */
	readonly maxClaims?: number;
	/** Maximum total size of the answers that this node stores as a keeper, in bytes of base64. @default 8_388_608 */
	readonly maxAnswerBytes?: number;
};

/** Messages that a keeper answers once what they ask for is on its disk; their senders send them again. */
const recordedRequests: ReadonlySet<LedgerMessage['type']> = new Set(['claim', 'finish', 'fence', 'take-over']);

type LoopbackMessage = {
	readonly from: NodeId;
	readonly message: LedgerMessage;
};

/**
 * At-most-once ledger: claims of idempotency keys, replicated on a small set of keepers in each home region.
 * A claim is granted once all keepers of the region's newest set hold it.
 */
export class ClaimLedger implements Ledger {
	readonly #self: NodeId;
	readonly #region: Region;
	readonly #outbox: Outbox;
	readonly #coordinator: ClaimCoordinator;
	readonly #journal: LedgerJournal;
	readonly #keeper: KeeperReplica;
	readonly #membership: ClaimLedgerOptions['membership'];
	#handOver: ClaimHandOver | undefined;
	readonly #sets = new Map<Region, KeeperSet>();
	/** Messages of this node to itself, delivered before a public method returns. */
	#loopback: LoopbackMessage[] = [];

	constructor({self, region, incarnation, hasDisk, loadedJournal, outbox, membership, now, maxClaims, maxAnswerBytes, state = new StateMemory()}: ClaimLedgerOptions) {
		this.#self = self;
		this.#region = region;
		this.#outbox = outbox;
		this.#membership = membership;
		const send = (to: NodeId, message: LedgerMessage) => {
			this.#send(to, message);
		};

		const running = (claimId: ClaimId) => {
			const view = membership.node(claimId.coordinator);
			return view?.state === 'alive' && view.info.incarnation === claimId.incarnation;
		};

		this.#coordinator = new ClaimCoordinator({
			self,
			incarnation,
			sets: this.#sets,
			send,
			running,
			onUnavailable({request: {requestId, homeRegion}, set: {epoch, members}, answers}) {
				outbox.event('claim-unavailable', {
					request: requestId, region: homeRegion, epoch, keepers: members, answers,
				});
			},
		});
		this.#journal = new LedgerJournal({outbox, hasDisk});
		this.#keeper = new KeeperReplica({
			self,
			incarnation: () => membership.node(self)?.info.incarnation ?? incarnation,
			hasDisk,
			loadedJournal: loadedJournal ?? {status: 'missing', records: []},
			store: new ClaimStore({budget: state.budget('claims'), maxClaims, maxAnswerBytes}),
			journal: this.#journal,
			send,
			now,
		});
		if (this.#keeper.set) {
			this.#sets.set(region, this.#keeper.set);
		}
	}

	claim(request: ClaimRequest, now: Millis): void {
		this.#coordinator.claim(request, now);
		this.#deliverLoopback(now);
	}

	markDone(requestId: RequestId, answer: StoredAnswer | undefined, now: Millis): void {
		this.#coordinator.finish(requestId, 'done', answer, now);
		this.#deliverLoopback(now);
	}

	release(requestId: RequestId, now: Millis): void {
		this.#coordinator.finish(requestId, 'released', undefined, now);
		this.#deliverLoopback(now);
	}

	markUnknown(requestId: RequestId, now: Millis): void {
		this.#coordinator.finish(requestId, 'unknown', undefined, now);
		this.#deliverLoopback(now);
	}

	handle(from: NodeId, message: LedgerMessage, now: Millis): void {
		this.#handle(from, message, now);
		this.#deliverLoopback(now);
	}

	tick(now: Millis): void {
		this.#keeper.tick(now);
		this.#coordinator.tick(now);
		this.#handOver?.tick(now);
		this.#deliverLoopback(now);
	}

	written(token: number, now: Millis): void {
		this.#journal.written(token);
		this.#deliverLoopback(now);
	}

	writeFailed(reason: string, now: Millis): void {
		this.#journal.writeFailed(reason, now);
	}

	applyKeeperSet(set: KeeperSet, now: Millis): void {
		this.#adoptSet(set, now);
		this.#deliverLoopback(now);
	}

	takeOutcomes() {
		const outcomes = this.#coordinator.takeOutcomes();
		for (const {outcome} of outcomes) {
			this.#outbox.count('claims', outcome.type);
		}

		return outcomes;
	}

	/** This node is going to leave: it hands the claims over that it alone may hold. */
	drain(now: Millis): void {
		this.#handOver ??= new ClaimHandOver({
			self: this.#self,
			membership: this.#membership,
			set: () => this.#keeper.set,
			send: (to, message) => {
				this.#send(to, message);
			},
			now,
		});
	}

	/** True once this node may leave, after `drain`. */
	drained(now: Millis): boolean {
		return this.#handOver?.done(now) ?? true;
	}

	/** Status of this node as a keeper, for operators; in the role `lost` it waits for `acceptLoss`. */
	status(now: Millis) {
		return this.#keeper.status(now);
	}

	/** Continues without the claims that all keepers lost, on an operator's decision; false if they are not lost. */
	acceptLoss(now: Millis): boolean {
		const accepted = this.#keeper.acceptLoss(now);
		this.#deliverLoopback(now);
		return accepted;
	}

	#handle(from: NodeId, message: LedgerMessage, now: Millis): void {
		if (!this.#journal.writable && recordedRequests.has(message.type)) {
			return;
		}

		switch (message.type) {
			case 'claim': {
				this.#keeper.handleClaim(from, message, now);
				break;
			}

			case 'finish': {
				this.#keeper.handleFinish(from, message, now);
				break;
			}

			case 'fence': {
				this.#keeper.handleFence(from, message, now);
				break;
			}

			case 'take-over': {
				this.#adoptSet(message.set, now);
				this.#keeper.handleTakeOver(from, message, now);
				break;
			}

			case 'state': {
				this.#handOver?.handleState(from, message);
				this.#keeper.handleState(from, message, now);
				break;
			}

			case 'never-active': {
				this.#keeper.handleNeverActive(message, now);
				break;
			}

			case 'empty': {
				this.#keeper.handleEmpty(from, message);
				break;
			}

			case 'claim-reply': {
				this.#coordinator.handleClaimReply(from, message, now);
				break;
			}

			case 'finish-reply': {
				this.#coordinator.handleFinishReply(from, message, now);
				break;
			}

			case 'query': {
				this.#send(from, {type: 'query-reply', claimId: message.claimId, status: this.#coordinator.claimStatus(message.claimId)});
				break;
			}

			case 'query-reply': {
				this.#coordinator.handleQueryReply(message, now);
				break;
			}

			case 'fence-reply': {
				this.#coordinator.handleFenceReply(from, message, now);
				break;
			}

			case 'not-ready': {
				this.#handleNotReady(from, message, now);
				break;
			}

			case 'set': {
				this.#adoptSet(message.set, now);
				break;
			}
		}
	}

	/** A keeper does not serve the epoch: sends it this node's set if that is newer, otherwise adopts the keeper's set. */
	#handleNotReady(from: NodeId, {region, set}: Extract<LedgerMessage, {type: 'not-ready'}>, now: Millis): void {
		const known = this.#sets.get(region);
		if (known && known.epoch > (set?.epoch ?? 0)) {
			this.#send(from, {type: 'set', set: known});
		} else if (set) {
			this.#adoptSet(set, now);
		}
	}

	#adoptSet(set: KeeperSet, now: Millis): void {
		if (set.epoch <= (this.#sets.get(set.region)?.epoch ?? 0)) {
			return;
		}

		this.#sets.set(set.region, set);
		if (set.region === this.#region) {
			this.#keeper.adoptSet(set, now);
		}

		this.#coordinator.handleNewSet(set.region, now);
	}

	#send(to: NodeId, message: LedgerMessage): void {
		if (to === this.#self) {
			this.#loopback.push({from: to, message});
		} else {
			this.#outbox.send(to, {part: 'ledger', body: message});
		}
	}

	#deliverLoopback(now: Millis): void {
		while (this.#loopback.length > 0) {
			const messages = this.#loopback;
			this.#loopback = [];
			for (const {from, message} of messages) {
				this.#handle(from, message, now);
			}
		}
	}
}
