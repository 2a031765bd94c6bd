import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import {answerSize} from './answer-size.ts';
import type {ClaimId} from './claim-id.ts';
import {formatClaimId} from './format-claim-id.ts';
import type {KeeperSet} from './keeper-set.ts';
import type {StoredAnswer} from './stored-answer.ts';
import type {LedgerMessage} from './ledger-message.ts';

/** How a claim ended; sent to the keepers as a message. */
type Finish = {
	readonly region: Region;
	readonly claimId: ClaimId;
	readonly key: string;
	readonly state: 'done' | 'unknown' | 'released';
	readonly answer?: StoredAnswer;
};

type QueuedFinish = {
	finish: Finish;
	readonly expiresAt: number;
	readonly ackedBy: Set<NodeId>;
	nextSendAt: number;
	retryDelayMs: number;
};

type FinishQueueOptions = {
	readonly sets: ReadonlyMap<Region, KeeperSet>;
	readonly send: (to: NodeId, message: LedgerMessage) => void;
};

/** Initial and maximum delay of a retry, in milliseconds; it doubles with each retry. */
const initialRetryDelayMs = 300;
const maxRetryDelayMs = 5000;
/** Time after which delivery is given up, in milliseconds; the keepers' state of the claim then stays as it is. */
const deliveryTimeoutMs = 600_000;
/** Maximum queue length; the oldest are dropped beyond that. */
const maxQueued = 5000;
/** Maximum total size of the answers in the queue, in bytes; beyond that the oldest outcomes are delivered without theirs. */
const maxAnswerBytes = 8_388_608;

/** Delivers `finish` messages to the keepers, with retries until every member of the region's newest set has acknowledged. */
export class FinishQueue {
	readonly #sets: ReadonlyMap<Region, KeeperSet>;
	readonly #send: FinishQueueOptions['send'];
	readonly #queue = new Map<string, QueuedFinish>();
	#answerBytes = 0;

	constructor({sets, send}: FinishQueueOptions) {
		this.#sets = sets;
		this.#send = send;
	}

	add(finish: Finish, now: Millis): void {
		const queued: QueuedFinish = {
			finish, expiresAt: now + deliveryTimeoutMs, ackedBy: new Set(), nextSendAt: now, retryDelayMs: initialRetryDelayMs,
		};
		this.#queue.set(formatClaimId(finish.claimId), queued);
		this.#answerBytes += answerSize(finish.answer);
		if (this.#queue.size > maxQueued) {
			this.#remove(this.#queue.keys().next().value!);
		}

		this.#sendFinish(queued, now);
		this.#dropAnswers();
	}

	/** How the claim ended; undefined once delivered or dropped. */
	state(id: string): Finish['state'] | undefined {
		return this.#queue.get(id)?.finish.state;
	}

	/** Records a keeper's acknowledgement in the epoch of the newest set. */
	acknowledge(from: NodeId, claimId: ClaimId, epoch: number): void {
		const id = formatClaimId(claimId);
		const queued = this.#queue.get(id);
		const set = queued && this.#sets.get(queued.finish.region);
		if (!queued || set?.epoch !== epoch) {
			return;
		}

		queued.ackedBy.add(from);
		if (set.members.every(member => queued.ackedBy.has(member))) {
			this.#remove(id);
		}
	}

	/** Handles a new keeper set of the region: every queued message is delivered again, to all members of the set. */
	restart(region: Region): void {
		for (const queued of this.#queue.values()) {
			if (queued.finish.region === region) {
				queued.ackedBy.clear();
				queued.nextSendAt = 0;
				queued.retryDelayMs = initialRetryDelayMs;
			}
		}
	}

	tick(now: Millis): void {
		for (const [id, queued] of this.#queue) {
			if (now > queued.expiresAt) {
				this.#remove(id);
			} else if (now >= queued.nextSendAt) {
				this.#sendFinish(queued, now);
			}
		}
	}

	#remove(id: string): void {
		const queued = this.#queue.get(id);
		if (queued !== undefined) {
			this.#answerBytes -= answerSize(queued.finish.answer);
			this.#queue.delete(id);
		}
	}

	/** Drops the oldest answers until the others fit: that a claim is done has to be delivered, its answer need not be. */
	#dropAnswers(): void {
		for (const queued of this.#answerBytes > maxAnswerBytes ? this.#queue.values() : []) {
			if (this.#answerBytes <= maxAnswerBytes) {
				return;
			}

			this.#answerBytes -= answerSize(queued.finish.answer);
			queued.finish = {...queued.finish, answer: undefined};
		}
	}

	#sendFinish(queued: QueuedFinish, now: Millis): void {
		queued.nextSendAt = now + queued.retryDelayMs;
		queued.retryDelayMs = Math.min(queued.retryDelayMs * 2, maxRetryDelayMs);
		for (const member of this.#sets.get(queued.finish.region)?.members ?? []) {
			if (!queued.ackedBy.has(member)) {
				this.#send(member, {type: 'finish', ...queued.finish});
			}
		}
	}
}
