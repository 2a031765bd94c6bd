import type {Consensus} from '../consensus/consensus.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Change} from './change.ts';
import type {ChangeOutcome} from './change-outcome.ts';
import type {CommandOutcome} from './command-outcome.ts';
import type {SystemState} from './system-state.ts';

/** Time that a proposed change may take before it is proposed again, in milliseconds. */
const proposalMs = 2000;
/** Time after which nobody waits for a change any more, in milliseconds. */
const waitMs = 10_000;

type Waiting = {readonly by: Set<NodeId>; readonly since: number; proposedAt: number};

type ChangeDeskOptions = {
	readonly consensus: Consensus<CommandOutcome>;
	readonly state: SystemState;
	/** Tells whoever asked for a change its outcome. */
	readonly reply: (to: NodeId, change: Change, digest: string, outcome: ChangeOutcome) => void;
};

/** Where a control node proposes changes; answers come from committed outcomes alone. */
export class ChangeDesk {
	readonly #options: ChangeDeskOptions;
	readonly #waiting = new Map<string, Waiting>();

	constructor(options: ChangeDeskOptions) {
		this.#options = options;
	}

	/** Answers or proposes the change; false if this node can do neither. */
	take(from: NodeId, change: Change, digest: string, now: Millis): boolean {
		const known = this.#options.state.knownOutcome(change);
		if (known !== undefined) {
			this.#options.reply(from, change, digest, known);
			return true;
		}

		if (!this.#options.consensus.leads(now)) {
			return false;
		}

		const waiting = this.#wait(change, digest, now);
		waiting.by.add(from);
		if (now - waiting.proposedAt < proposalMs) {
			return true;
		}

		if (this.#options.consensus.propose({type: 'change', change}, now) === undefined) {
			return false;
		}

		waiting.proposedAt = now;
		return true;
	}

	committed(change: Change, digest: string, outcome: ChangeOutcome): void {
		const key = `${digest} ${change.changeId}`;
		for (const nodeId of this.#waiting.get(key)?.by ?? []) {
			this.#options.reply(nodeId, change, digest, outcome);
		}

		this.#waiting.delete(key);
	}

	tick(now: Millis): void {
		for (const [key, waiting] of this.#waiting) {
			if (now - waiting.since > waitMs) {
				this.#waiting.delete(key);
			}
		}
	}

	#wait(change: Change, digest: string, now: Millis): Waiting {
		const key = `${digest} ${change.changeId}`;
		const known = this.#waiting.get(key);
		if (known !== undefined) {
			return known;
		}

		const waiting = {by: new Set<NodeId>(), since: now, proposedAt: Number.NEGATIVE_INFINITY};
		this.#waiting.set(key, waiting);
		return waiting;
	}
}
