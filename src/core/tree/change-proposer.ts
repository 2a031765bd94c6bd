import type {Consensus} from '../consensus/consensus.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Change} from './change.ts';
import type {ChangeOutcome} from './change-outcome.ts';
import type {CommandOutcome} from './command-outcome.ts';
import type {SystemState} from './system-state.ts';

/** Time that a proposed change may take before it is proposed again, in milliseconds. */
const proposalTimeoutMs = 2000;
/** Time after which nobody waits for a change any more, in milliseconds. */
const pendingTimeoutMs = 10_000;

type PendingChange = {readonly requesters: Set<NodeId>; readonly createdAt: number; proposedAt: number};

type ChangeProposerOptions = {
	readonly consensus: Consensus<CommandOutcome>;
	readonly state: SystemState;
	/** Tells whoever asked for a change its outcome. */
	readonly reply: (to: NodeId, change: Change, digest: string, outcome: ChangeOutcome) => void;
};

/** Where a control node proposes changes; answers come from committed outcomes alone. */
export class ChangeProposer {
	readonly #options: ChangeProposerOptions;
	readonly #pending = new Map<string, PendingChange>();

	constructor(options: ChangeProposerOptions) {
		this.#options = options;
	}

	/** Answers or proposes the change; false if this node can do neither. */
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
