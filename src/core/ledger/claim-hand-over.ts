import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Membership} from '../membership/membership.ts';
import type {KeeperSet} from './keeper-set.ts';
import type {LedgerMessage} from './ledger-message.ts';

type ClaimHandOverOptions = {
	readonly self: NodeId;
	readonly membership: Pick<Membership, 'node' | 'nodes'>;
	/** Newest known keeper set of this node's region. */
	readonly set: () => KeeperSet | undefined;
	readonly send: (to: NodeId, message: LedgerMessage) => void;
	readonly now: Millis;
};

/** Time after which a leaving node goes even if no other node has its claims, in milliseconds. */
const handOverTimeoutMs = 10_000;
/** Time in which the other nodes hear that this one leaves, and it hears of those that leave too, in milliseconds. */
const hearingMs = 1000;
const retryIntervalMs = 300;
/** A cursor behind all claims, so that the reply carries none. */
const endCursor = Number.MAX_SAFE_INTEGER;

/** Keeps a leaving node until another one, which stays, is active in the newest keeper set and so has every granted claim. */
export class ClaimHandOver {
	readonly #options: ClaimHandOverOptions;
	readonly #since: Millis;
	/** Incarnations of the nodes that replied that they were active in the newest set: one that starts again may have lost the claims. */
	readonly #holders = new Map<NodeId, number>();
	/** Epoch of the set that `#holders` are active in. */
	#heldEpoch = 0;
	#nextRequestAt: number;

	constructor(options: ClaimHandOverOptions) {
		this.#options = options;
		this.#since = options.now;
		this.#nextRequestAt = options.now;
	}

	tick(now: Millis): void {
		const set = this.#options.set();
		if (!set || now < this.#nextRequestAt || this.done(now)) {
			return;
		}

		this.#nextRequestAt = now + retryIntervalMs;
		for (const member of set.members.filter(name => name !== this.#options.self)) {
			this.#options.send(member, {
				type: 'take-over', set, epoch: set.epoch, cursor: endCursor,
			});
		}
	}

	handleState(from: NodeId, {setEpoch, epoch, incarnation}: Extract<LedgerMessage, {type: 'state'}>): void {
		const set = this.#options.set();
		if (set?.epoch === epoch && setEpoch === epoch && set.members.includes(from)) {
			if (epoch > this.#heldEpoch) {
				this.#heldEpoch = epoch;
				this.#holders.clear();
			}

			this.#holders.set(from, incarnation);
		}
	}

	/** True once this node may leave. */
	done(now: Millis): boolean {
		const {self, membership} = this.#options;
		if (!this.#mayHold() || now - this.#since >= handOverTimeoutMs) {
			return true;
		}

		const staying = membership.nodes()
			.filter(({info, state, draining}) => info.nodeId !== self && state === 'alive' && !draining && (info.hasDisk || info.roles.includes('entry')))
			.map(({info}) => info);
		return now - this.#since >= hearingMs && (staying.length === 0 || staying.some(({nodeId, incarnation}) => this.#holders.get(nodeId) === incarnation));
	}

	/** True if claims may have been granted in a set with this node that are nowhere else yet. */
	#mayHold(): boolean {
		const set = this.#options.set();
		return set !== undefined && [set, ...set.earlier].some(({members}) => members.includes(this.#options.self));
	}
}
