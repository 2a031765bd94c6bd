import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {ClaimCopy} from './claim-copy.ts';
import type {KeeperSet} from './keeper-set.ts';
import type {LedgerMessage} from './ledger-message.ts';

type TakeOverOptions = {
	readonly self: NodeId;
	/** The set that this node joins. */
	readonly set: KeeperSet;
	readonly send: (to: NodeId, message: LedgerMessage) => void;
};

type MessageOf<Type extends LedgerMessage['type']> = Extract<LedgerMessage, {type: Type}>;

/** Pause between two rounds of questions, in milliseconds. */
const askPauseMs = 300;
/** Silence of a source after which another one is asked, in milliseconds. */
const sourceTimeoutMs = 1500;

/**
 * Takes the claims over from one sealed member of an earlier epoch.
 *
 * A claim is granted only if all members of an epoch hold it, so one member that was active in the epoch
 * and takes no more claims in it has all that were granted. If a member was never active in the epoch,
 * nothing was granted in it and the one before counts.
 */
export class TakeOver {
	readonly #self: NodeId;
	readonly #set: KeeperSet;
	readonly #send: TakeOverOptions['send'];
	/** The epoch whose members are asked, and those members. */
	#epoch: number;
	#holders: readonly NodeId[];
	readonly #empty = new Set<NodeId>();
	#source: NodeId | undefined;
	#sourceIncarnation = 0;
	#claims: ClaimCopy[] = [];
	#cursor = 0;
	#heardAt = 0;
	#nextAskAt = 0;

	constructor({self, set, send}: TakeOverOptions) {
		this.#self = self;
		this.#set = set;
		this.#send = send;
		this.#epoch = set.epoch - 1;
		this.#holders = set.previous;
	}

	/** True if every member of the earlier epoch answered that it lost its memory. */
	get lost(): boolean {
		return this.#holders.every(holder => this.#empty.has(holder));
	}

	tick(now: Millis): void {
		if (this.#source !== undefined && now - this.#heardAt > sourceTimeoutMs) {
			this.#restart();
		}

		if (now < this.#nextAskAt) {
			return;
		}

		this.#nextAskAt = now + askPauseMs;
		for (const nodeId of this.#source === undefined ? this.#candidates() : [this.#source]) {
			this.#ask(nodeId);
		}
	}

	/** Takes one page; returns all claims once the last page is there. */
	page(from: NodeId, message: MessageOf<'state'>, now: Millis): readonly ClaimCopy[] | undefined {
		const expected = this.#source === undefined || (this.#source === from && this.#sourceIncarnation === message.incarnation);
		if (!expected || message.epoch !== this.#epoch || message.cursor !== this.#cursor) {
			return undefined;
		}

		this.#source = from;
		this.#sourceIncarnation = message.incarnation;
		this.#heardAt = now;
		this.#claims.push(...message.claims);
		if (message.next === undefined) {
			return this.#claims;
		}

		this.#cursor = message.next;
		this.#nextAskAt = now + askPauseMs;
		this.#ask(from);
		return undefined;
	}

	/** Nothing was granted in the epoch asked for; true if there is none before it, so that there are no claims. */
	neverActive({set}: MessageOf<'never-active'>): boolean {
		if (set.epoch !== this.#epoch) {
			return false;
		}

		if (set.previous.length === 0) {
			return true;
		}

		this.#epoch -= 1;
		this.#holders = set.previous;
		this.#empty.clear();
		this.#nextAskAt = 0;
		this.#restart();
		return false;
	}

	/** A node lost its memory. */
	empty(from: NodeId, epoch: number): void {
		if (epoch === this.#epoch) {
			this.#empty.add(from);
		}
	}

	#candidates(): NodeId[] {
		const others = this.#set.members.filter(member => member !== this.#self);
		return [...new Set([...this.#holders, ...others])];
	}

	#ask(to: NodeId): void {
		this.#send(to, {
			type: 'take-over', set: this.#set, epoch: this.#epoch, cursor: this.#cursor,
		});
	}

	#restart(): void {
		this.#source = undefined;
		this.#claims = [];
		this.#cursor = 0;
	}
}
