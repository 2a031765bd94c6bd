import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {ClaimRecord} from './claim-record.ts';
import type {KeeperSet} from './keeper-set.ts';
import type {LedgerMessage} from './ledger-message.ts';

type ClaimTransferOptions = {
	readonly self: NodeId;
	/** The set that this node joins. */
	readonly set: KeeperSet;
	readonly send: (to: NodeId, message: LedgerMessage) => void;
};

type MessageOf<Type extends LedgerMessage['type']> = Extract<LedgerMessage, {type: Type}>;

/** Interval of requests without a reply, in milliseconds. */
const retryIntervalMs = 300;
/** Silence of the source after which the transfer restarts from any member, in milliseconds. */
const sourceTimeoutMs = 1500;

/** Silence of a source after which an operator may decide that its claims are lost, in milliseconds: as long as a set waits for its members before it is replaced without any of them. */
const goneMs = 60_000;

/**
 * Transfers the claims from one sealed member of an earlier epoch to a member of the new set.
 *
 * A claim is granted only if all members of an epoch hold it. So any one member that was active in the epoch and
 * accepts no more claims in it (is sealed) has every granted claim. If a member was never active in the epoch,
 * nothing was granted in it and the claims of the previous epoch are transferred instead.
 */
export class ClaimTransfer {
	readonly #self: NodeId;
	readonly #set: KeeperSet;
	readonly #send: ClaimTransferOptions['send'];
	/** The epoch whose claims are transferred, and its members. */
	#sourceEpoch: number;
	#sourceMembers: readonly NodeId[];
	readonly #withoutClaims = new Set<NodeId>();
	/** Time of the last page from each node; one without any counts from `#waitingSince` on. */
	readonly #heardAt = new Map<NodeId, Millis>();
	/** Time at which the sources were first asked for the epoch's claims. */
	#waitingSince: Millis | undefined;
	#source: NodeId | undefined;
	#sourceIncarnation = 0;
	#claims: ClaimRecord[] = [];
	#cursor = 0;
	#lastPageAt = 0;
	#nextRequestAt = 0;

	constructor({self, set, send}: ClaimTransferOptions) {
		this.#self = self;
		this.#set = set;
		this.#send = send;
		this.#sourceEpoch = set.epoch - 1;
		this.#sourceMembers = set.previous;
	}

	/** True if every member of the source epoch replied that it no longer has the claims, or has been silent for long; they are still asked. */
	lost(now: Millis): boolean {
		return this.#sourceMembers.every(member => this.#withoutClaims.has(member) || this.#silenceMs(member, now) >= goneMs);
	}

	tick(now: Millis): void {
		this.#waitingSince ??= now;
		if (this.#source !== undefined && now - this.#lastPageAt > sourceTimeoutMs) {
			this.#restart();
		}

		if (now < this.#nextRequestAt) {
			return;
		}

		this.#nextRequestAt = now + retryIntervalMs;
		for (const nodeId of this.#source === undefined ? this.#candidates() : [this.#source]) {
			this.#requestPage(nodeId);
		}
	}

	/** Adds one page; returns all claims once the last page has arrived. */
	handlePage(from: NodeId, message: MessageOf<'state'>, now: Millis): readonly ClaimRecord[] | undefined {
		this.#heardAt.set(from, now);
		const expected = this.#source === undefined || (this.#source === from && this.#sourceIncarnation === message.incarnation);
		if (!expected || message.epoch !== this.#sourceEpoch || message.cursor !== this.#cursor) {
			return undefined;
		}

		this.#source = from;
		this.#sourceIncarnation = message.incarnation;
		this.#lastPageAt = now;
		this.#claims.push(...message.claims);
		if (message.next === undefined) {
			return this.#claims;
		}

		this.#cursor = message.next;
		this.#nextRequestAt = now + retryIntervalMs;
		this.#requestPage(from);
		return undefined;
	}

	/** Nothing was granted in the source epoch: continues with the previous one. True if there is none, so that there are no claims to transfer. */
	handleNeverActive({set}: MessageOf<'never-active'>): boolean {
		if (set.epoch !== this.#sourceEpoch) {
			return false;
		}

		if (set.previous.length === 0) {
			return true;
		}

		this.#sourceEpoch -= 1;
		this.#sourceMembers = set.previous;
		this.#withoutClaims.clear();
		this.#waitingSince = undefined;
		this.#nextRequestAt = 0;
		this.#restart();
		return false;
	}

	/** A node replied that it no longer has the claims of the epoch. */
	handleEmpty(from: NodeId, epoch: number): void {
		if (epoch === this.#sourceEpoch) {
			this.#withoutClaims.add(from);
		}
	}

	#silenceMs(member: NodeId, now: Millis): number {
		return now - (this.#heardAt.get(member) ?? this.#waitingSince ?? now);
	}

	/** Members of the source epoch, and the other members of the new set, which have the claims too once they are active. */
	#candidates(): NodeId[] {
		const others = this.#set.members.filter(member => member !== this.#self);
		return [...new Set([...this.#sourceMembers, ...others])];
	}

	#requestPage(to: NodeId): void {
		this.#send(to, {
			type: 'take-over', set: this.#set, epoch: this.#sourceEpoch, cursor: this.#cursor,
		});
	}

	#restart(): void {
		this.#source = undefined;
		this.#claims = [];
		this.#cursor = 0;
	}
}
