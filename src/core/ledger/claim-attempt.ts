import type {AwakeClock} from '../common/awake-clock.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {ClaimId} from './claim-id.ts';
import type {ClaimOutcome} from './claim-outcome.ts';
import type {ClaimReply} from './claim-reply.ts';
import type {ClaimRequest} from './claim-request.ts';
import {formatClaimId} from './format-claim-id.ts';
import type {KeeperSet} from './keeper-set.ts';
import type {LedgerMessage} from './ledger-message.ts';

type ClaimStatus = Extract<LedgerMessage, {type: 'query-reply'}>['status'];

type ClaimAttemptOptions = {
	readonly request: ClaimRequest;
	/** Scope and idempotency key, separated by a newline. */
	readonly key: string;
	readonly set: KeeperSet;
	readonly claimId: ClaimId;
	readonly deadlineAt: number;
	/** Stops while this process stands still, since replies about a holder then wait unread; stepped by the coordinator. */
	readonly awake: AwakeClock;
	readonly send: (to: NodeId, message: LedgerMessage) => void;
	/** Status of a claim made by this node. */
	readonly ownStatus: (claimId: ClaimId) => ClaimStatus;
	readonly self: NodeId;
	/** Whether the coordinator process that made a claim is believed to be running. */
	readonly running: (claimId: ClaimId) => boolean;
};

/** Investigation of another claim that holds the key: its coordinator is queried first, then the keepers are asked to fence it. */
type HolderCheck = {
	readonly holder: ClaimId;
	readonly stage: 'query' | 'fence';
	/** Time at which the stage times out, on the clock `awake`. */
	readonly until: number;
	/** Keepers that replied to the fence that they hold the other claim. */
	readonly heldBy: Set<NodeId>;
};

/** Next action of the coordinator. */
type AttemptStep =
	| {readonly type: 'end'; readonly outcome: ClaimOutcome}
	/** The other claim was not granted and never will be; the coordinator releases it. */
	| {readonly type: 'release'; readonly claimId: ClaimId};

/** Interval of retries to keepers that have not replied, in milliseconds. */
const retryIntervalMs = 150;
/** Timeout of each stage of a holder check, in milliseconds. */
const holderCheckMs = 500;
/** Retry delay given to callers while another request with the key is running or being claimed, in milliseconds. */
const inProgressRetryMs = 500;
/** Retry delay given to callers when the keepers cannot be reached, in milliseconds. */
const unavailableRetryMs = 1000;

const inProgress: ClaimOutcome = {type: 'in-progress', retryAfterMs: inProgressRetryMs};

/** One attempt to claim a key in one epoch, until all keepers accept it or it is given up. */
export class ClaimAttempt {
	readonly #options: ClaimAttemptOptions;
	readonly #replies = new Map<NodeId, ClaimReply>();
	#holderCheck: HolderCheck | undefined;
	#nextSendAt = 0;

	constructor(options: ClaimAttemptOptions) {
		this.#options = options;
	}

	get request(): ClaimRequest {
		return this.#options.request;
	}

	get claimId(): ClaimId {
		return this.#options.claimId;
	}

	get key(): string {
		return this.#options.key;
	}

	get set(): KeeperSet {
		return this.#options.set;
	}

	get deadlineAt(): number {
		return this.#options.deadlineAt;
	}

	/** True if at least one keeper accepted the claim. */
	get acceptedByAny(): boolean {
		return [...this.#replies.values()].some(({type}) => type === 'accepted');
	}

	/** Type of the reply of each keeper that has replied. */
	get answers(): Readonly<Record<string, string>> {
		return Object.fromEntries([...this.#replies].map(([keeper, {type}]) => [keeper, type]));
	}

	/** Retries requests without a reply; ends the attempt at its deadline. Holder checks do not time out while replies `mayBeUnread`. */
	tick(now: Millis, mayBeUnread: boolean): AttemptStep | undefined {
		if (now > this.#options.deadlineAt) {
			return {type: 'end', outcome: this.#timeoutOutcome()};
		}

		if (this.#holderCheck && !mayBeUnread && this.#options.awake.now > this.#holderCheck.until) {
			const step = this.#holderCheckTimedOut(this.#holderCheck, now);
			if (step) {
				return step;
			}
		}

		if (now >= this.#nextSendAt) {
			this.#nextSendAt = now + retryIntervalMs;
			this.#sendRequests();
		}

		return undefined;
	}

	/** Handles a keeper's reply to the claim. Replies after the deadline are ignored, so nothing is granted late. */
	handleClaimReply(from: NodeId, reply: ClaimReply, now: Millis): AttemptStep | undefined {
		if (now > this.#options.deadlineAt || !this.set.members.includes(from)) {
			return undefined;
		}

		this.#replies.set(from, reply);
		const outcome = this.#finalOutcome(reply) ?? this.#grantedOutcome();
		if (outcome) {
			return {type: 'end', outcome};
		}

		return reply.type === 'held' && !this.#holderCheck ? this.#checkHolder(reply.by, now) : undefined;
	}

	/** Handles another coordinator's reply about the claim that holds the key. */
	handleQueryReply(claimId: ClaimId, status: ClaimStatus, now: Millis): AttemptStep | undefined {
		if (this.#holderCheck?.stage !== 'query' || formatClaimId(claimId) !== formatClaimId(this.#holderCheck.holder)) {
			return undefined;
		}

		return this.#applyHolderStatus(this.#holderCheck.holder, status, now);
	}

	/** Handles a keeper's reply to a fence. A keeper that does not hold the other claim refuses it from now on, so it can never be granted. */
	handleFenceReply(from: NodeId, claimId: ClaimId, held: boolean): AttemptStep | undefined {
		if (this.#holderCheck?.stage !== 'fence' || formatClaimId(claimId) !== formatClaimId(this.#holderCheck.holder)) {
			return undefined;
		}

		if (!held) {
			this.#clearHolderCheck();
			return {type: 'release', claimId};
		}

		this.#holderCheck.heldBy.add(from);
		return this.set.members.every(member => this.#holderCheck!.heldBy.has(member))
			? {type: 'end', outcome: this.#heldOutcome(this.#holderCheck.holder)}
			: undefined;
	}

	#finalOutcome(reply: ClaimReply): ClaimOutcome | undefined {
		switch (reply.type) {
			case 'done': {
				return reply.answer ? {type: 'replay', answer: reply.answer} : {type: 'may-have-run'};
			}

			case 'unknown': {
				return {type: 'may-have-run'};
			}

			case 'key-reused': {
				return {type: 'key-reused'};
			}

			case 'full': {
				return this.#unavailable();
			}

			case 'fenced': {
				// Another attempt to claim the key fenced this claim, and may be granted instead.
				return inProgress;
			}

			case 'accepted':
			case 'held': {
				return undefined;
			}
		}
	}

	#grantedOutcome(): ClaimOutcome | undefined {
		return this.set.members.every(member => this.#replies.get(member)?.type === 'accepted') ? {type: 'granted'} : undefined;
	}

	#checkHolder(by: ClaimId, now: Millis): AttemptStep | undefined {
		if (by.coordinator === this.#options.self) {
			return this.#applyHolderStatus(by, this.#options.ownStatus(by), now);
		}

		this.#holderCheck = {
			holder: by, stage: 'query', until: this.#options.awake.now + holderCheckMs, heldBy: new Set(),
		};
		this.#options.send(by.coordinator, {type: 'query', claimId: by});
		return undefined;
	}

	#applyHolderStatus(by: ClaimId, status: ClaimStatus, now: Millis): AttemptStep | undefined {
		if (status === 'never') {
			this.#clearHolderCheck();
			return undefined;
		}

		if (status !== 'forgotten') {
			return {type: 'end', outcome: inProgress};
		}

		this.#fence(by, now);
		return undefined;
	}

	#fence(by: ClaimId, now: Millis): void {
		this.#holderCheck = {
			holder: by, stage: 'fence', until: this.#options.awake.now + holderCheckMs, heldBy: new Set(),
		};
		this.#nextSendAt = now;
	}

	#holderCheckTimedOut({stage, holder}: HolderCheck, now: Millis): AttemptStep | undefined {
		if (stage === 'fence') {
			return {type: 'end', outcome: this.#heldOutcome(holder)};
		}

		this.#fence(holder, now);
		return undefined;
	}

	/** The other claim was given up: keepers that held it are asked again. */
	#clearHolderCheck(): void {
		this.#holderCheck = undefined;
		for (const [member, reply] of this.#replies) {
			if (reply.type === 'held') {
				this.#replies.delete(member);
			}
		}
	}

	#sendRequests(): void {
		const {set, claimId, key, request, send} = this.#options;
		for (const member of set.members) {
			if (this.#holderCheck?.stage === 'fence') {
				send(member, {
					type: 'fence', region: set.region, epoch: set.epoch, key, claimId: this.#holderCheck.holder,
				});
			} else if (!this.#replies.has(member)) {
				send(member, {
					type: 'claim', region: set.region, epoch: set.epoch, claimId, key, fingerprint: request.fingerprint, keepMs: request.keepMs,
				});
			}
		}
	}

	#timeoutOutcome(): ClaimOutcome {
		const held = [...this.#replies.values()].find(reply => reply.type === 'held');
		const by = this.#holderCheck?.holder ?? (held?.type === 'held' ? held.by : undefined);
		return by ? this.#heldOutcome(by) : this.#unavailable();
	}

	/** Outcome when another claim that may have been granted holds the key. */
	#heldOutcome(by: ClaimId): ClaimOutcome {
		return this.#options.running(by) ? inProgress : {type: 'may-have-run'};
	}

	#unavailable(): ClaimOutcome {
		return {type: 'unavailable', retryAfterMs: unavailableRetryMs, ran: 'maybe'};
	}
}
