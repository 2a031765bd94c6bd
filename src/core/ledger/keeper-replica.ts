import type {LoadedJournal} from '../common/loaded-journal.ts';
import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {ClaimCopy} from './claim-copy.ts';
import type {ClaimReply} from './claim-reply.ts';
import type {ClaimStore} from './claim-store.ts';
import {claimText} from './claim-text.ts';
import {EpochHistory} from './epoch-history.ts';
import {FenceList} from './fence-list.ts';
import type {KeeperEpoch} from './keeper-epoch.ts';
import type {KeeperSet} from './keeper-set.ts';
import {knownClaimReply} from './known-claim-reply.ts';
import {LedgerJournal} from './ledger-journal.ts';
import type {LedgerMessage} from './ledger-message.ts';
import type {LedgerRecord} from './ledger-record.ts';
import {TakeOver} from './take-over.ts';

type KeeperReplicaOptions = {
	readonly self: NodeId;
	/** The incarnation under which other nodes know this process. */
	readonly incarnation: () => number;
	readonly hasDisk: boolean;
	readonly restored: LoadedJournal<LedgerRecord>;
	readonly store: ClaimStore;
	readonly outbox: Outbox;
	readonly send: (to: NodeId, message: LedgerMessage) => void;
	/** Time of the start, from which restored claims count as new. */
	readonly now: Millis;
};

type MessageOf<Type extends LedgerMessage['type']> = Extract<LedgerMessage, {type: Type}>;

/** This node as a keeper of its region's claims. */
export class KeeperReplica {
	readonly #self: NodeId;
	readonly #incarnation: () => number;
	/** True if this node's journal goes back to its first promise. */
	readonly #journalIntact: boolean;
	readonly #store: ClaimStore;
	readonly #journal: LedgerJournal;
	readonly #send: KeeperReplicaOptions['send'];
	readonly #history = new EpochHistory();
	readonly #fences = new FenceList();
	/** Claims that their coordinators gave up; forgotten with the memory of this process. */
	readonly #released = new FenceList();
	/** Claims whose record is not synced yet. */
	readonly #unsynced = new Set<string>();
	#set: KeeperSet | undefined;
	/** The last epoch in which this node was a full member; its store holds all claims granted up to it. */
	#activeEpoch = 0;
	/** The node takes part in no epoch up to this one. */
	#sealed = 0;
	/** The part of `#sealed` that outlives a restart. */
	#sealSynced = 0;
	#takeOver: TakeOver | undefined;
	/** True while the record that makes this node a full member is being written. */
	#activating = false;

	constructor({self, incarnation, hasDisk, restored, store, outbox, send, now}: KeeperReplicaOptions) {
		this.#self = self;
		this.#incarnation = incarnation;
		this.#journalIntact = hasDisk && restored.status !== 'missing';
		this.#store = store;
		this.#journal = new LedgerJournal({outbox, hasDisk});
		this.#send = send;
		for (const record of restored.records) {
			this.#replay(record, now);
		}
	}

	/** The newest set known of this node's region. */
	get set(): KeeperSet | undefined {
		return this.#set;
	}

	/** What operators see of this keeper. */
	status(): {readonly role: 'none' | 'active' | 'joining' | 'lost' | 'ineligible'; readonly epoch: number; readonly claims: number} {
		return {role: this.#role(), epoch: this.#set?.epoch ?? 0, claims: this.#store.size};
	}

	/** Learns of a set; older epochs are over for this node from now on. */
	learn(set: KeeperSet, now: Millis): void {
		if (set.epoch <= (this.#set?.epoch ?? 0)) {
			return;
		}

		this.#set = set;
		this.#history.add(set, this.#activeEpoch);
		this.#sealed = Math.max(this.#sealed, set.epoch - 1);
		this.#takeOver = undefined;
		if (!set.members.includes(this.#self) || this.#activeEpoch >= set.epoch) {
			return;
		}

		if (this.#activeEpoch === set.epoch - 1 && this.#activeEpoch > 0) {
			this.#activate(set, undefined, now);
		} else if (this.#remembers(set)) {
			this.#join(set, now);
		}
	}

	tick(now: Millis): void {
		this.#takeOver?.tick(now);
		this.#fences.expire(now);
		this.#released.expire(now);
		if (this.#serves(this.#activeEpoch)) {
			this.#store.expire(now);
		}

		if (!this.#activating && this.#journal.wantsCompaction(this.#store.size + this.#fences.size)) {
			this.#journal.rewrite(this.#records(now));
		}
	}

	written(token: number): void {
		this.#journal.written(token);
	}

	/** Goes on without the claims that all members of the earlier epoch lost; an operator's decision. */
	acceptLoss(now: Millis): boolean {
		if (!this.#takeOver?.lost || !this.#set) {
			return false;
		}

		this.#activate(this.#set, [], now);
		return true;
	}

	handleClaim(from: NodeId, message: MessageOf<'claim'>, now: Millis): void {
		const {claimId, epoch} = message;
		if (!this.#serves(epoch)) {
			this.#send(from, {type: 'not-ready', region: message.region, set: this.#set});
			return;
		}

		const answer = (reply: ClaimReply) => {
			this.#send(from, {
				type: 'claim-reply', claimId, epoch, reply,
			});
		};

		const text = claimText(claimId);
		const reply = this.#judge(message, now);
		if (reply) {
			answer(reply);
		} else if (!this.#unsynced.has(text)) {
			const claim: ClaimCopy = {
				key: message.key, claimId, fingerprint: message.fingerprint, state: 'claimed', keepMs: message.keepMs, ageMs: 0,
			};
			this.#store.put(claim, now);
			this.#unsynced.add(text);
			this.#journal.append([{type: 'claim', claim}], () => {
				this.#unsynced.delete(text);
				answer({type: 'accepted'});
			});
		}
	}

	handleFinish(from: NodeId, message: MessageOf<'finish'>, now: Millis): void {
		const {claimId, key} = message;
		const epoch = this.#activeEpoch;
		if (!this.#serves(epoch)) {
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
		const text = claimText(claimId);
		if (!this.#serves(epoch) || this.#unsynced.has(text)) {
			return;
		}

		const claim = this.#store.get(message.key, now);
		const held = claim !== undefined && claimText(claim.claimId) === text;
		const answer = () => {
			this.#send(from, {
				type: 'fence-reply', claimId, epoch, held,
			});
		};

		if (held) {
			answer();
		} else if (this.#fences.add(text, now)) {
			this.#journal.append([{type: 'fenced', claim: text}], answer);
		}
	}

	/** Answers a node that joins a newer set; this node is sealed before it gives anything away. */
	handleTakeOver(from: NodeId, {set, epoch, cursor}: MessageOf<'take-over'>, now: Millis): void {
		this.learn(set, now);
		if (set.epoch < (this.#set?.epoch ?? 0)) {
			this.#send(from, {type: 'set', set: this.#set!});
			return;
		}

		if (this.#activeEpoch < epoch) {
			this.#answerWithout(from, set, epoch);
			return;
		}

		const sealed = set.epoch - 1;
		this.#journal.append(this.#sealSynced < sealed ? [{type: 'sealed', epoch: sealed}] : [], () => {
			this.#sealSynced = Math.max(this.#sealSynced, sealed);
			this.#send(from, {
				type: 'state', setEpoch: set.epoch, epoch, incarnation: this.#incarnation(), cursor, ...this.#store.page(cursor, now),
			});
		});
	}

	handleState(from: NodeId, message: MessageOf<'state'>, now: Millis): void {
		if (message.setEpoch !== this.#set?.epoch) {
			return;
		}

		const claims = this.#takeOver?.page(from, message, now);
		if (claims) {
			this.#activate(this.#set, claims, now);
		}
	}

	handleNeverActive(message: MessageOf<'never-active'>, now: Millis): void {
		if (message.setEpoch === this.#set?.epoch && this.#takeOver?.neverActive(message)) {
			this.#activate(this.#set, [], now);
		}
	}

	handleEmpty(from: NodeId, {setEpoch, epoch}: MessageOf<'empty'>): void {
		if (setEpoch === this.#set?.epoch) {
			this.#takeOver?.empty(from, epoch);
		}
	}

	/** The reply to a claim that is not to be stored now; undefined if it is new or being written. */
	#judge({claimId, key, fingerprint}: MessageOf<'claim'>, now: Millis): ClaimReply | undefined {
		const text = claimText(claimId);
		if (this.#fences.has(text) || this.#released.has(text)) {
			return {type: 'fenced'};
		}

		const known = this.#store.get(key, now);
		if (!known) {
			return this.#store.full ? {type: 'full'} : undefined;
		}

		if (claimText(known.claimId) === text && known.state === 'claimed') {
			return this.#unsynced.has(text) ? undefined : {type: 'accepted'};
		}

		return knownClaimReply(known, fingerprint);
	}

	/** Changes the state of a claim; returns what must be written. */
	#finish({claimId, key, state, answer}: MessageOf<'finish'>, known: ClaimCopy | undefined, now: Millis): LedgerRecord[] {
		if (state === 'released') {
			// A copy of the claim that arrives later must not hold the key again.
			this.#released.add(claimText(claimId), now);
		}

		if (known?.state !== 'claimed' || claimText(known.claimId) !== claimText(claimId)) {
			return [];
		}

		if (state === 'released') {
			this.#store.remove(key);
			return [{type: 'removed', key}];
		}

		const claim: ClaimCopy = {
			...known, state, ageMs: 0, ...(answer && {answer}),
		};
		this.#store.put(claim, now);
		return [{type: 'claim', claim}];
	}

	/** This node cannot give the claims of the epoch; one that only missed a set says nothing until it knows that set. */
	#answerWithout(from: NodeId, joining: KeeperSet, epoch: number): void {
		const set = this.#history.get(epoch);
		if (set?.members.includes(this.#self) && this.#remembers(set)) {
			this.#send(from, {type: 'never-active', setEpoch: joining.epoch, set});
		} else if (set !== undefined || this.#activeEpoch === 0) {
			this.#send(from, {type: 'empty', setEpoch: joining.epoch, epoch});
		}
	}

	#serves(epoch: number): boolean {
		return epoch > this.#sealed && epoch === this.#activeEpoch;
	}

	/** True if this node would still know what it promised as a member of the set. */
	#remembers(set: KeeperEpoch): boolean {
		return this.#journalIntact || set.incarnations[this.#self] === this.#incarnation();
	}

	#join(set: KeeperSet, now: Millis): void {
		if (set.previous.length === 0) {
			this.#activate(set, [], now);
			return;
		}

		this.#takeOver = new TakeOver({self: this.#self, set, send: this.#send});
		this.#takeOver.tick(now);
	}

	/** Becomes a full member, with these claims in place of its own or with its own. */
	#activate(set: KeeperSet, claims: readonly ClaimCopy[] | undefined, now: Millis): void {
		this.#takeOver = undefined;
		if (claims) {
			this.#store.clear();
			for (const claim of claims) {
				this.#store.put(claim, now);
			}
		}

		this.#activating = true;
		const activated = () => {
			this.#activating = false;
			this.#activeEpoch = Math.max(this.#activeEpoch, set.epoch);
		};

		const record: LedgerRecord = {type: 'active', set};
		if (claims) {
			this.#journal.rewrite([...this.#records(now), record], activated);
		} else {
			this.#journal.append([{type: 'sealed', epoch: this.#sealed}, record], activated);
		}
	}

	/** The journal's content after a rewrite. */
	#records(now: Millis): LedgerRecord[] {
		const active = this.#history.get(this.#activeEpoch);
		return [
			...(active ? [{type: 'active', set: {...active, earlier: []}} as const] : []),
			{type: 'sealed', epoch: this.#sealed},
			...this.#fences.all().map(claim => ({type: 'fenced', claim} as const)),
			...this.#store.all(now).map(claim => ({type: 'claim', claim} as const)),
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
				this.#sealed = Math.max(this.#sealed, record.epoch);
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
				this.#fences.add(record.claim, now);
				break;
			}
		}
	}

	#role(): ReturnType<KeeperReplica['status']>['role'] {
		if (!this.#set?.members.includes(this.#self)) {
			return 'none';
		}

		if (this.#serves(this.#set.epoch)) {
			return 'active';
		}

		if (this.#takeOver) {
			return this.#takeOver.lost ? 'lost' : 'joining';
		}

		return 'ineligible';
	}
}
