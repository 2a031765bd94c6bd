import type {Consensus} from '../consensus/consensus.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Change} from './change.ts';
import type {ChangeOutcome} from './change-outcome.ts';
import type {CommandOutcome} from './command-outcome.ts';
import type {SystemState} from './system-state.ts';

/** Time without an outcome after which a change may be proposed again, in milliseconds. */
const proposalTimeoutMs = 2000;
/** Time after which a pending change is dropped, in milliseconds: its submitters have given up by then. */
const pendingTimeoutMs = 10_000;

type PendingChange = {readonly requesters: Set<NodeId>; readonly createdAt: number; proposedAt: number};

type ChangeProposerOptions = {
	readonly consensus: Consensus<CommandOutcome>;
	readonly state: SystemState;
	/** Sends the outcome of a change to a node that submitted it. */
	readonly reply: (to: NodeId, change: Change, digest: string, outcome: ChangeOutcome) => void;
};

/** Proposes changes to the replicated log on a control node; submitters get committed outcomes only. */
export class ChangeProposer {
	readonly #options: ChangeProposerOptions;
	readonly #pending = new Map<string, PendingChange>();

	constructor(options: ChangeProposerOptions) {
		this.#options = options;
	}

	/** Answers a change whose outcome is known or proposes it; false if this node can do neither. */
	handle(from: NodeId, change: Change, digest: string, now: Millis): boolean {
		const known = this.#options.state.knownOutcome(change);
		if (known !== undefined) {
			this.#options.reply(from, change, digest, known);
			return true;
		}

		if (!this.#options.consensus.leads(now)) {
			return false;
		}

		const pending = this.#pendingFor(change, digest, now);
		pending.requesters.add(from);
		if (now - pending.proposedAt < proposalTimeoutMs) {
			return true;
		}

		if (this.#options.consensus.propose({type: 'change', change}, now) === undefined) {
			return false;
		}

		pending.proposedAt = now;
		return true;
	}

	/** Sends the outcome of a committed change to the nodes that submitted it. */
	handleCommitted(change: Change, digest: string, outcome: ChangeOutcome): void {
		const key = `${digest} ${change.changeId}`;
		for (const nodeId of this.#pending.get(key)?.requesters ?? []) {
			this.#options.reply(nodeId, change, digest, outcome);
		}

		this.#pending.delete(key);
	}

	tick(now: Millis): void {
		for (const [key, pending] of this.#pending) {
			if (now - pending.createdAt > pendingTimeoutMs) {
				this.#pending.delete(key);
			}
		}
	}

	#pendingFor(change: Change, digest: string, now: Millis): PendingChange {
		const key = `${digest} ${change.changeId}`;
		const known = this.#pending.get(key);
		if (known !== undefined) {
			return known;
		}

		const pending = {requesters: new Set<NodeId>(), createdAt: now, proposedAt: Number.NEGATIVE_INFINITY};
		this.#pending.set(key, pending);
		return pending;
	}
}
