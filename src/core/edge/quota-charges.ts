import type {Millis} from '../ids/millis.ts';
import type {QuotaGate} from '../organisations/quota/quota-gate.ts';
import {requestCost} from '../organisations/quota/request-cost.ts';
import type {RequestRecord} from './request-record.ts';

/** Charges requests to the quotas of their organisations, and takes the charges of those back that no target ran. */
export class QuotaCharges {
	readonly #gate: QuotaGate | undefined;

	/** @param gate - Undefined if quotas are not enforced. */
	constructor(gate: QuotaGate | undefined) {
		this.#gate = gate;
	}

	/** Charges a request, at the entry that has it from its caller; false if it is over the quota. */
	charge(record: RequestRecord, now: Millis): boolean {
		const {req: {organisation: name, forwarded, prompt}, table} = record;
		const quota = name === undefined || forwarded !== undefined ? undefined : table.organisations.get(name)?.quota;
		if (name === undefined || quota === undefined || this.#gate === undefined) {
			return true;
		}

		const decision = this.#gate.admit({organisation: name, cost: requestCost(quota, prompt)}, now);
		if (decision.admitted) {
			record.charge = decision.charge;
		} else {
			record.retryAfterMs = decision.retryAfterMs;
		}

		return decision.admitted;
	}

	/** Takes back the charge of a request, once. */
	refund(record: RequestRecord, now: Millis): void {
		if (record.charge !== undefined) {
			this.#gate?.refund(record.charge, now);
			record.charge = undefined;
		}
	}
}
