import type {Millis} from '../ids/millis.ts';

/** A reservation that is not committed by then is proposed again, in milliseconds. */
const proposalMs = 2000;

/** Loads may be ordered ahead of the store by this time, in milliseconds. */
const aheadMs = 10_000;

type Options = {
	/** Puts a deployment's ordered but not yet delivered bytes into the replicated log. */
	readonly propose: (deployment: string, bytes: number, at: number) => void;
	/** What the log holds of a deployment. */
	readonly logged: (deployment: string) => {readonly bytes: number; readonly at: number} | undefined;
};

type Account = {
	/** Bytes that the store still has to deliver for loads that were reserved. */
	debt: number;
	debtAt: Millis;
	/** Bytes that are reserved in the log and not ordered yet. */
	credit: number;
	proposal?: {readonly debt: number; readonly bytes: number; readonly at: Millis};
};

/**
 * Rate of the weight store over a whole deployment, kept across changes of leader. A load is ordered only
 * after its bytes stand in the replicated log. A new leader takes the logged debt as if no time had passed
 * before its own start, so what its predecessor ordered is never counted too low.
 */
export class LoadBudget {
	readonly #options: Options;
	readonly #accounts = new Map<string, Account>();
	#startedAt = 0 as Millis;

	constructor(options: Options) {
		this.#options = options;
	}

	/** This node starts to lead: accounts start from what is logged, which the store delivers from now on. */
	restart(now: Millis): void {
		this.#startedAt = now;
		this.#accounts.clear();
	}

	/** Takes bytes for one load, or reserves them so that a later call can take them. */
	take(deployment: string, bytes: number, bytesPerSecond: number, now: Millis): boolean {
		const account = this.#account(deployment, bytesPerSecond, now);
		if (account.credit >= bytes) {
			account.credit -= bytes;
			return true;
		}

		this.#reserve(deployment, account, {bytes: bytes - account.credit, bytesPerSecond}, now);
		return false;
	}

	#reserve(deployment: string, account: Account, wanted: {bytes: number; bytesPerSecond: number}, now: Millis): void {
		const waiting = account.proposal !== undefined && now - account.proposal.at < proposalMs;
		const ahead = wanted.bytesPerSecond * aheadMs / 1000;
		const tooEarly = account.debt > 0 && account.debt + wanted.bytes > ahead;
		if (waiting || tooEarly) {
			return;
		}

		const debt = Math.ceil(account.debt + wanted.bytes);
		account.proposal = {debt, bytes: wanted.bytes, at: now};
		this.#options.propose(deployment, debt, now);
	}

	#account(deployment: string, bytesPerSecond: number, now: Millis): Account {
		const logged = this.#options.logged(deployment);
		const account = this.#accounts.get(deployment) ?? {debt: logged?.bytes ?? 0, debtAt: this.#startedAt, credit: 0};
		const delivered = bytesPerSecond * (now - account.debtAt) / 1000;
		account.debt = Math.max(0, account.debt - delivered);
		account.debtAt = now;
		const {proposal} = account;
		if (proposal && logged?.at === proposal.at && logged.bytes === proposal.debt) {
			account.debt += proposal.bytes;
			account.credit += proposal.bytes;
			account.proposal = undefined;
		}

		this.#accounts.set(deployment, account);
		return account;
	}
}
