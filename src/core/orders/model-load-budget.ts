import type {Millis} from '../ids/millis.ts';

/** Time after which a reservation that is not committed is proposed again, in milliseconds. */
const proposalTimeoutMs = 2000;

/** Maximum time that the weight store may need to deliver the outstanding loads, in milliseconds; one larger load is allowed while nothing is outstanding. */
const maxAheadMs = 10_000;

type Options = {
	/** Proposes a deployment's ordered but undelivered bytes to the replicated log. */
	readonly propose: (deployment: string, bytes: number, at: number) => void;
	/** A deployment's undelivered bytes as committed in the log. */
	readonly logged: (deployment: string) => {readonly bytes: number; readonly at: number} | undefined;
};

type DeploymentBudget = {
	/** Bytes that the store still has to deliver for reserved loads, at `updatedAt`. */
	outstandingBytes: number;
	updatedAt: Millis;
	/** Bytes reserved in the log and not ordered yet. */
	reservedBytes: number;
	/** Reservation proposed to the log: `bytes` for the load, `outstandingBytes` in total with it. */
	proposal?: {readonly outstandingBytes: number; readonly bytes: number; readonly at: Millis};
};

/**
 * Limits the loads of a deployment to the rate of its weight store, also across changes of leader. A load is ordered
 * only after its bytes are committed in the replicated log. A new leader assumes that the store has delivered none of
 * the logged bytes before its own start, so it never underestimates what its predecessor ordered.
 */
export class ModelLoadBudget {
	readonly #options: Options;
	readonly #budgets = new Map<string, DeploymentBudget>();
	#startedAt = 0 as Millis;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Called when this node starts to lead: budgets start again from the logged bytes, delivered from now on. */
	restart(now: Millis): void {
		this.#startedAt = now;
		this.#budgets.clear();
	}

	/** Takes the bytes of one load and returns true, or returns false and, if the budget allows, reserves them for a later call. */
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
		const maxOutstandingBytes = wanted.bytesPerSecond * maxAheadMs / 1000;
		const tooEarly = budget.outstandingBytes > 0 && budget.outstandingBytes + wanted.bytes > maxOutstandingBytes;
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
