import type {Millis} from '../ids/millis.ts';

/** A reservation that is not committed by then is proposed again, in milliseconds. */
const proposalTimeoutMs = 2000;

/** Loads may be ordered ahead of the store by this time, in milliseconds. */
const maxAheadMs = 10_000;

type Options = {
	/** Puts a deployment's ordered but not yet delivered bytes into the replicated log. */
	readonly propose: (deployment: string, bytes: number, at: number) => void;
	/** What the log holds of a deployment. */
	readonly logged: (deployment: string) => {readonly bytes: number; readonly at: number} | undefined;
};

type DeploymentBudget = {
	/** Bytes that the store still has to deliver for loads that were reserved. */
	outstandingBytes: number;
	updatedAt: Millis;
	/** Bytes that are reserved in the log and not ordered yet. */
	reservedBytes: number;
	proposal?: {readonly outstandingBytes: number; readonly bytes: number; readonly at: Millis};
};

/**
 * Rate of the weight store over a whole deployment, kept across changes of leader. A load is ordered only
 * after its bytes stand in the replicated log. A new leader takes the logged debt as if no time had passed
 * before its own start, so what its predecessor ordered is never counted too low.
 */
export class LoadBudget {
	readonly #options: Options;
	readonly #budgets = new Map<string, DeploymentBudget>();
	#startedAt = 0 as Millis;

	constructor(options: Options) {
		this.#options = options;
	}

	/** This node starts to lead: accounts start from what is logged, which the store delivers from now on. */
	restart(now: Millis): void {
		this.#startedAt = now;
		this.#budgets.clear();
	}

	/** Takes bytes for one load, or reserves them so that a later call can take them. */
	take(deployment: string, bytes: number, bytesPerSecond: number, now: Millis): boolean {
		const budget = this.#updatedBudget(deployment, bytesPerSecond, now);
		if (budget.reservedBytes >= bytes) {
			budget.reservedBytes -= bytes;
			return true;
		}

		this.#reserve(deployment, budget, {bytes: bytes - budget.reservedBytes, bytesPerSecond}, now);
		return false;
	}

	#reserve(deployment: string, budget: DeploymentBudget, wanted: {bytes: number; bytesPerSecond: number}, now: Millis): void {
		const proposalPending = budget.proposal !== undefined && now - budget.proposal.at < proposalTimeoutMs;
		const ahead = wanted.bytesPerSecond * maxAheadMs / 1000;
		const tooEarly = budget.outstandingBytes > 0 && budget.outstandingBytes + wanted.bytes > ahead;
		if (proposalPending || tooEarly) {
			return;
		}

		const proposedBytes = Math.ceil(budget.outstandingBytes + wanted.bytes);
		budget.proposal = {outstandingBytes: proposedBytes, bytes: wanted.bytes, at: now};
		this.#options.propose(deployment, proposedBytes, now);
	}

	#updatedBudget(deployment: string, bytesPerSecond: number, now: Millis): DeploymentBudget {
		const logged = this.#options.logged(deployment);
		const budget = this.#budgets.get(deployment) ?? {outstandingBytes: logged?.bytes ?? 0, updatedAt: this.#startedAt, reservedBytes: 0};
		const delivered = bytesPerSecond * (now - budget.updatedAt) / 1000;
		budget.outstandingBytes = Math.max(0, budget.outstandingBytes - delivered);
		budget.updatedAt = now;
		const {proposal} = budget;
		if (proposal && logged?.at === proposal.at && logged.bytes === proposal.outstandingBytes) {
			budget.outstandingBytes += proposal.bytes;
			budget.reservedBytes += proposal.bytes;
			budget.proposal = undefined;
		}

		this.#budgets.set(deployment, budget);
		return budget;
	}
}
