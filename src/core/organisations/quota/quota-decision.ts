import type {QuotaCharge} from './quota-charge.ts';

/** Whether the quota lets a request pass; if not, after which time it can, in milliseconds. */
export type QuotaDecision =
	| {readonly admitted: true; readonly charge: QuotaCharge}
	| {readonly admitted: false; readonly retryAfterMs: number};
