import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {ClaimId} from './claim-id.ts';
import {claimText} from './claim-text.ts';
import type {KeeperSet} from './keeper-set.ts';
import type {KeptAnswer} from './kept-answer.ts';
import type {LedgerMessage} from './ledger-message.ts';

type Finish = {
	readonly region: Region;
	readonly claimId: ClaimId;
	readonly key: string;
	readonly state: 'done' | 'unknown' | 'released';
	readonly answer?: KeptAnswer;
};

type QueuedFinish = {
	readonly finish: Finish;
	readonly until: number;
	readonly acked: Set<NodeId>;
	nextAt: number;
	pauseMs: number;
};

type FinishQueueOptions = {
	readonly sets: ReadonlyMap<Region, KeeperSet>;
	readonly send: (to: NodeId, message: LedgerMessage) => void;
};

/** First and longest pause between two messages about one claim, in milliseconds. */
const firstPauseMs = 300;
const longestPauseMs = 5000;
/** How long keepers are told, in milliseconds; after that a claim stays as it is. */
const tellMs = 600_000;
/** Claims that are being told of; the oldest are dropped beyond. */
const limit = 5000;

/** Tells all keepers how claims ended until all of the newest set know. */
export class FinishQueue {
	readonly #sets: ReadonlyMap<Region, KeeperSet>;
	readonly #send: FinishQueueOptions['send'];
	readonly #queue = new Map<string, QueuedFinish>();

	constructor({sets, send}: FinishQueueOptions) {
		this.#sets = sets;
		this.#send = send;
	}

	add(finish: Finish, now: Millis): void {
		const queued: QueuedFinish = {
			finish, until: now + tellMs, acked: new Set(), nextAt: now, pauseMs: firstPauseMs,
		};
		this.#queue.set(claimText(finish.claimId), queued);
		if (this.#queue.size > limit) {
			this.#queue.delete(this.#queue.keys().next().value!);
		}

		this.#tell(queued, now);
	}

	/** How the claim ended, while it is still being told. */
	state(text: string): Finish['state'] | undefined {
		return this.#queue.get(text)?.finish.state;
	}

	/** A keeper knows. */
	acked(from: NodeId, claimId: ClaimId, epoch: number): void {
		const text = claimText(claimId);
		const queued = this.#queue.get(text);
		const set = queued && this.#sets.get(queued.finish.region);
		if (!queued || set?.epoch !== epoch) {
			return;
		}

		queued.acked.add(from);
		if (set.members.every(member => queued.acked.has(member))) {
			this.#queue.delete(text);
		}
	}

	/** The region has a new set: its members must all be told. */
	restart(region: Region): void {
		for (const queued of this.#queue.values()) {
			if (queued.finish.region === region) {
				queued.acked.clear();
				queued.nextAt = 0;
				queued.pauseMs = firstPauseMs;
			}
		}
	}

	tick(now: Millis): void {
		for (const [text, queued] of this.#queue) {
			if (now > queued.until) {
				this.#queue.delete(text);
			} else if (now >= queued.nextAt) {
				this.#tell(queued, now);
			}
		}
	}

	#tell(queued: QueuedFinish, now: Millis): void {
		queued.nextAt = now + queued.pauseMs;
		queued.pauseMs = Math.min(queued.pauseMs * 2, longestPauseMs);
		for (const member of this.#sets.get(queued.finish.region)?.members ?? []) {
			if (!queued.acked.has(member)) {
				this.#send(member, {type: 'finish', ...queued.finish});
			}
		}
	}
}
