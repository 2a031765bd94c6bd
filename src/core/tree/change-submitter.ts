import type {Outbox} from '../common/outbox.ts';
import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Change} from './change.ts';
import {changeDigest} from './change-digest.ts';
import type {ChangeOutcome} from './change-outcome.ts';

/** Longest wait for an outcome, in milliseconds. */
const outcomeTimeoutMs = 4000;
/** Time without an answer after which a change is sent again, in milliseconds. */
const resendMs = 500;
/** Delay before the next attempt after a redirect that names no new leader, in milliseconds. */
const redirectRetryMs = 100;
/** Retry delay that operators are given with `no-quorum`, in milliseconds. */
const retryAfterMs = 2000;

type Pending = {readonly change: Change; readonly digest: string; readonly deadlineAt: number; sendAt: number; lastTried?: NodeId};

type SubmitterOptions = {
	readonly outbox: Outbox;
	readonly random: Random;
	/** Control nodes other than this node. */
	readonly controlNodes: () => readonly NodeId[];
	/** Handles the change on this node; false unless it leads or knows the outcome. */
	readonly handleLocally: (change: Change, digest: string, now: Millis) => boolean;
};

/** Sends operators' changes to the leader, and resends them under the same id until there is an outcome. */
export class ChangeSubmitter {
	readonly #options: SubmitterOptions;
	readonly #pending = new Map<string, Pending>();
	#outcomes: Array<{changeId: string; outcome: ChangeOutcome}> = [];
	#leader: NodeId | undefined;

	constructor(options: SubmitterOptions) {
		this.#options = options;
	}

	submit(change: Change, now: Millis): void {
		const digest = changeDigest(change);
		const pending = {
			change, digest, deadlineAt: now + outcomeTimeoutMs, sendAt: now,
		};
		this.#pending.set(keyOf(change.changeId, digest), pending);
		this.#send(pending, now);
	}

	handleOutcome(changeId: string, digest: string, outcome: ChangeOutcome): void {
		if (this.#pending.delete(keyOf(changeId, digest))) {
			this.#options.outbox.count('changes', outcome.type);
			this.#outcomes.push({changeId, outcome});
		}
	}

	/** Handles the answer of a node that is not the leader: sends the change at once if it names another leader, else after a delay. */
	handleRedirect(changeId: string, digest: string, leader: NodeId | undefined, now: Millis): void {
		const pending = this.#pending.get(keyOf(changeId, digest));
		if (pending === undefined) {
			return;
		}

		const sameLeader = leader === this.#leader;
		this.#leader = leader;
		pending.sendAt = now + redirectRetryMs;
		if (leader !== undefined && !sameLeader) {
			this.#send(pending, now);
		}
	}

	tick(now: Millis): void {
		for (const pending of this.#pending.values()) {
			if (now >= pending.deadlineAt) {
				this.handleOutcome(pending.change.changeId, pending.digest, {type: 'no-quorum', retryAfterMs});
			} else if (now >= pending.sendAt) {
				this.#send(pending, now);
				// The next attempt goes to another node unless this one is answered.
				this.#leader = undefined;
			}
		}
	}

	takeOutcomes(): ReadonlyArray<{changeId: string; outcome: ChangeOutcome}> {
		const outcomes = this.#outcomes;
		this.#outcomes = [];
		return outcomes;
	}

	#send(pending: Pending, now: Millis): void {
		const {change, digest} = pending;
		pending.sendAt = now + resendMs;
		if (this.#options.handleLocally(change, digest, now)) {
			return;
		}

		const to = this.#destination(pending.lastTried);
		if (to !== undefined) {
			pending.lastTried = to;
			this.#options.outbox.send(to, {part: 'tree', body: {type: 'submit', change, digest}});
		}
	}

	/** The leader if it is known, which this node's settings may not name yet, else a random control node other than the one tried last. */
	#destination(lastTried: NodeId | undefined): NodeId | undefined {
		if (this.#leader !== undefined) {
			return this.#leader;
		}

		const nodes = this.#options.controlNodes();
		const others = nodes.length > 1 ? nodes.filter(nodeId => nodeId !== lastTried) : nodes;
		return others[Math.floor(this.#options.random.next() * others.length)];
	}
}

function keyOf(changeId: string, digest: string): string {
	return `${digest} ${changeId}`;
}
