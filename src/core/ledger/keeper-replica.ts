import type {LoadedJournal} from '../common/loaded-journal.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {ClaimRecord} from './claim-record.ts';
import type {ClaimReply} from './claim-reply.ts';
import type {ClaimStore} from './claim-store.ts';
import {formatClaimId} from './format-claim-id.ts';
import {EpochHistory} from './epoch-history.ts';
import {RefusedClaims} from './refused-claims.ts';
import type {KeeperEpoch} from './keeper-epoch.ts';
import type {KeeperSet} from './keeper-set.ts';
import {existingClaimReply} from './existing-claim-reply.ts';
import type {LedgerJournal} from './ledger-journal.ts';
import type {LedgerMessage} from './ledger-message.ts';
import type {LedgerRecord} from './ledger-record.ts';
import {ClaimTransfer} from './claim-transfer.ts';

type KeeperReplicaOptions = {
	readonly self: NodeId;
	/** The incarnation under which other nodes know this process. */
	readonly incarnation: () => number;
	readonly hasDisk: boolean;
	readonly loadedJournal: LoadedJournal<LedgerRecord>;
	readonly store: ClaimStore;
	readonly journal: LedgerJournal;
	readonly send: (to: NodeId, message: LedgerMessage) => void;
	/** Start time; restored claims have their journaled age at this time. */
	readonly now: Millis;
};

type MessageOf<Type extends LedgerMessage['type']> = Extract<LedgerMessage, {type: Type}>;

/**
 * Replica of the region's claims on this node, while it is a keeper. A reply that others rely on waits for its record's
 * sync. Epochs before the newest known set are sealed: this node accepts no claims in them, so a member of that set can
 * safely copy its claims.
 */
export class KeeperReplica {
	readonly #self: NodeId;
	readonly #incarnation: () => number;
	/** True if the journal of earlier runs was found, so that no claim accepted by this node is missing. */
	readonly #journalIntact: boolean;
	readonly #store: ClaimStore;
	readonly #journal: LedgerJournal;
	readonly #send: KeeperReplicaOptions['send'];
	readonly #history = new EpochHistory();
	readonly #fencedClaims = new RefusedClaims();
	/** Claims given up by their coordinators; not journaled. */
	readonly #releasedClaims = new RefusedClaims();
	/** Claims whose record is not synced yet. */
	readonly #unsyncedClaims = new Set<string>();
	#set: KeeperSet | undefined;
	/** Last epoch in which this node was active, a full member; its store has all claims granted up to that epoch. */
	#activeEpoch = 0;
	/** Newest epoch that this node no longer serves; it serves no older one either. */
	#sealedEpoch = 0;
	/** Sealed epoch known to be synced, which survives a restart. */
	#syncedSealedEpoch = 0;
	#transfer: ClaimTransfer | undefined;
	/** Set of the last record that makes this node active, while it is being written. */
	#activating: KeeperSet | undefined;

	constructor({self, incarnation, hasDisk, loadedJournal, store, journal, send, now}: KeeperReplicaOptions) {
		this.#self = self;
		this.#incarnation = incarnation;
		this.#journalIntact = hasDisk && loadedJournal.status !== 'missing';
		this.#store = store;
		this.#journal = journal;
		this.#send = send;
		for (const record of loadedJournal.records) {
			this.#replay(record, now);
		}
	}

	/** Newest known keeper set of this node's region. */
	get set(): KeeperSet | undefined {
		return this.#set;
	}

	/** Status for operators. Role `none`: not in the newest set; `active`: serves it; `joining`: copies the claims; `lost`: all sources lost them or are gone; `ineligible`: cannot serve it (yet). */
	status(now: Millis): {readonly role: 'none' | 'active' | 'joining' | 'lost' | 'ineligible'; readonly epoch: number; readonly claims: number} {
		return {role: this.#role(now), epoch: this.#set?.epoch ?? 0, claims: this.#store.size};
	}

	/** Adopts a newer set; this node no longer serves older epochs. */
	adoptSet(set: KeeperSet, now: Millis): void {
		if (set.epoch <= (this.#set?.epoch ?? 0)) {
			return;
		}

		this.#set = set;
		this.#history.add(set, this.#activeEpoch);
		this.#sealedEpoch = Math.max(this.#sealedEpoch, set.epoch - 1);
		this.#transfer = undefined;
		if (!set.members.includes(this.#self) || this.#activeEpoch >= set.epoch) {
			return;
		}

		if (this.#activeEpoch === set.epoch - 1 && this.#activeEpoch > 0) {
			this.#activate(set, undefined, now);
		} else if (this.#stateIntact(set)) {
			this.#join(set, now);
		}
	}

	tick(now: Millis): void {
		this.#transfer?.tick(now);
		this.#fencedClaims.expire(now);
		this.#releasedClaims.expire(now);
		if (this.#servesEpoch(this.#activeEpoch)) {
			this.#store.expire(now);
		}

		this.#journal.recover(() => this.#snapshotRecords(now), now);
		if (this.#journal.needsCompaction(this.#store.size + this.#fencedClaims.size)) {
			this.#journal.rewrite(this.#snapshotRecords(now));
		}
	}

	/** Continues without the claims that all members of the earlier epoch lost or are gone with, on an operator's decision; false if they are not lost. */
	acceptLoss(now: Millis): boolean {
		if (!this.#transfer?.lost(now) || !this.#set) {
			return false;
		}

		this.#activate(this.#set, [], now);
		return true;
	}

	handleClaim(from: NodeId, message: MessageOf<'claim'>, now: Millis): void {
		const {claimId, epoch} = message;
		if (!this.#servesEpoch(epoch)) {
			this.#send(from, {type: 'not-ready', region: message.region, set: this.#set});
			return;
		}

		const sendReply = (reply: ClaimReply) => {
			this.#send(from, {
				type: 'claim-reply', claimId, epoch, reply,
			});
		};

		const id = formatClaimId(claimId);
		const reply = this.#immediateReply(message, now);
		if (reply) {
			sendReply(reply);
		} else if (!this.#unsyncedClaims.has(id)) {
			const claim: ClaimRecord = {
				key: message.key, claimId, fingerprint: message.fingerprint, state: 'claimed', keepMs: message.keepMs, ageMs: 0,
			};
			this.#store.put(claim, now);
			this.#unsyncedClaims.add(id);
			this.#journal.append([{type: 'claim', claim}], () => {
				this.#unsyncedClaims.delete(id);
				sendReply({type: 'accepted'});
			});
		}
	}

	handleFinish(from: NodeId, message: MessageOf<'finish'>, now: Millis): void {
		const {claimId, key} = message;
		const epoch = this.#activeEpoch;
		if (!this.#servesEpoch(epoch)) {
			this.#send(from, {type: 'not-ready', region: message.region, set: this.#set});
			return;
		}

		const records = this.#finish(message, this.#store.get(key, now), now);
		this.#journal.append(records, () => {
			this.#send(from, {
				type: 'finish-reply', claimId, epoch, changed: records.length > 0,
			});
		});
	}

	handleFence(from: NodeId, message: MessageOf<'fence'>, now: Millis): void {
		const {claimId, epoch} = message;
		const id = formatClaimId(claimId);
		if (!this.#servesEpoch(epoch) || this.#unsyncedClaims.has(id)) {
			// Not answered: the coordinator retries until its timeout.
			return;
		}

		const claim = this.#store.get(message.key, now);
		const held = claim !== undefined && formatClaimId(claim.claimId) === id;
		const sendReply = () => {
			this.#send(from, {
				type: 'fence-reply', claimId, epoch, held,
			});
		};

		if (held) {
			sendReply();
		} else if (this.#fencedClaims.add(id, now)) {
			this.#journal.append([{type: 'fenced', claim: id}], sendReply);
		}
	}

	/** Sends a page of claims to a node that joins a newer set, after the seal of the older epochs is synced. */
	handleTakeOver(from: NodeId, {set, epoch, cursor}: MessageOf<'take-over'>, now: Millis): void {
		this.adoptSet(set, now);
		if (set.epoch < (this.#set?.epoch ?? 0)) {
			this.#send(from, {type: 'set', set: this.#set!});
			return;
		}

		if (this.#activeEpoch < epoch) {
			this.#replyWithoutClaims(from, set, epoch);
			return;
		}

		const sealed = set.epoch - 1;
		this.#journal.append(this.#syncedSealedEpoch < sealed ? [{type: 'sealed', epoch: sealed}] : [], () => {
			this.#syncedSealedEpoch = Math.max(this.#syncedSealedEpoch, sealed);
			this.#send(from, {
				type: 'state', setEpoch: set.epoch, epoch, incarnation: this.#incarnation(), cursor, ...this.#store.page(cursor, now),
			});
		});
	}

	handleState(from: NodeId, message: MessageOf<'state'>, now: Millis): void {
		if (message.setEpoch !== this.#set?.epoch) {
			return;
		}

		const claims = this.#transfer?.handlePage(from, message, now);
		if (claims) {
			this.#activate(this.#set, claims, now);
		}
	}

	handleNeverActive(message: MessageOf<'never-active'>, now: Millis): void {
		if (message.setEpoch === this.#set?.epoch && this.#transfer?.handleNeverActive(message)) {
			this.#activate(this.#set, [], now);
		}
	}

	handleEmpty(from: NodeId, {setEpoch, epoch}: MessageOf<'empty'>): void {
		if (setEpoch === this.#set?.epoch) {
			this.#transfer?.handleEmpty(from, epoch);
		}
	}

	/** The reply to a claim that must not be stored; undefined if the claim is new or being written. */
	#immediateReply({claimId, key, fingerprint}: MessageOf<'claim'>, now: Millis): ClaimReply | undefined {
		const id = formatClaimId(claimId);
		if (this.#fencedClaims.has(id) || this.#releasedClaims.has(id)) {
			return {type: 'fenced'};
		}

		const known = this.#store.get(key, now);
		if (!known) {
			return this.#store.full ? {type: 'full'} : undefined;
		}

		if (formatClaimId(known.claimId) === id && known.state === 'claimed') {
			return this.#unsyncedClaims.has(id) ? undefined : {type: 'accepted'};
		}

		return existingClaimReply(known, fingerprint);
	}

	/** Applies the end of a claim and returns the records to write; none if the claim does not hold the key. */
	#finish({claimId, key, state, answer}: MessageOf<'finish'>, known: ClaimRecord | undefined, now: Millis): LedgerRecord[] {
		if (state === 'released') {
			// A delayed copy of the claim message must not claim the key again.
			this.#releasedClaims.add(formatClaimId(claimId), now);
		}

		if (known?.state !== 'claimed' || formatClaimId(known.claimId) !== formatClaimId(claimId)) {
			return [];
		}

		if (state === 'released') {
			this.#store.remove(key);
			return [{type: 'removed', key}];
		}

		const claim: ClaimRecord = {
			...known, state, ageMs: 0, ...(answer && {answer}),
		};
		this.#store.put(claim, now);
		return [{type: 'claim', claim}];
	}

	/** Replies that this node lacks the claims of the epoch. A node that was active before but does not know the epoch's set yet does not reply. */
	#replyWithoutClaims(from: NodeId, joining: KeeperSet, epoch: number): void {
		const set = this.#history.get(epoch);
		if (set?.members.includes(this.#self) && this.#stateIntact(set)) {
			this.#send(from, {type: 'never-active', setEpoch: joining.epoch, set});
		} else if (set !== undefined || this.#activeEpoch === 0) {
			this.#send(from, {type: 'empty', setEpoch: joining.epoch, epoch});
		}
	}

	#servesEpoch(epoch: number): boolean {
		return epoch > this.#sealedEpoch && epoch === this.#activeEpoch;
	}

	/** True if this node still has everything that it accepted as a member of the set. */
	#stateIntact(set: KeeperEpoch): boolean {
		return this.#journalIntact || set.incarnations[this.#self] === this.#incarnation();
	}

	#join(set: KeeperSet, now: Millis): void {
		if (set.previous.length === 0) {
			this.#activate(set, [], now);
			return;
		}

		this.#transfer = new ClaimTransfer({self: this.#self, set, send: this.#send});
		this.#transfer.tick(now);
	}

	/** Makes this node active in the set once synced; `claims` replace its own, undefined keeps them. */
	#activate(set: KeeperSet, claims: readonly ClaimRecord[] | undefined, now: Millis): void {
		this.#transfer = undefined;
		if (claims) {
			this.#store.clear();
			for (const claim of claims) {
				this.#store.put(claim, now);
			}
		}

		this.#activating = set;
		const activated = () => {
			this.#activating = this.#activating === set ? undefined : this.#activating;
			this.#activeEpoch = Math.max(this.#activeEpoch, set.epoch);
		};

		if (claims) {
			this.#journal.rewrite(this.#snapshotRecords(now), activated);
		} else {
			this.#journal.append([{type: 'sealed', epoch: this.#sealedEpoch}, {type: 'active', set}], activated);
		}
	}

	/** All records of a compacted journal. */
	#snapshotRecords(now: Millis): LedgerRecord[] {
		const active = this.#history.get(this.#activeEpoch);
		return [
			...(active ? [{type: 'active', set: {...active, earlier: []}} as const] : []),
			{type: 'sealed', epoch: this.#sealedEpoch},
			...this.#fencedClaims.all().map(claim => ({type: 'fenced', claim} as const)),
			...this.#store.all(now).map(claim => ({type: 'claim', claim} as const)),
			...(this.#activating ? [{type: 'active', set: this.#activating} as const] : []),
		];
	}

	#replay(record: LedgerRecord, now: Millis): void {
		switch (record.type) {
			case 'active': {
				this.#activeEpoch = record.set.epoch;
				this.#history.add(record.set, this.#activeEpoch);
				this.#set = record.set;
				break;
			}

			case 'sealed': {
				this.#sealedEpoch = Math.max(this.#sealedEpoch, record.epoch);
				break;
			}

			case 'claim': {
				this.#store.put(record.claim, now);
				break;
			}

			case 'removed': {
				this.#store.remove(record.key);
				break;
			}

			case 'fenced': {
				this.#fencedClaims.add(record.claim, now);
				break;
			}
		}
	}

	#role(now: Millis): ReturnType<KeeperReplica['status']>['role'] {
		if (!this.#set?.members.includes(this.#self)) {
			return 'none';
		}

		if (this.#servesEpoch(this.#set.epoch)) {
			return 'active';
		}

		if (this.#transfer) {
			return this.#transfer.lost(now) ? 'lost' : 'joining';
		}

		return 'ineligible';
	}
}
