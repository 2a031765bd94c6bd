import type {Refusal} from '../core/results/refusal.ts';

/** The response of a target or another entry does not answer the request: it is an error or a refusal, or it is truncated. */
export class TargetError extends Error {
	readonly reason: 'truncated' | 'refused' | 'error-status';
	readonly refusal?: Refusal;
	readonly status?: number;
	readonly retryAfterMs?: number;
	/** True if the response states that no part of the request was run. */
	readonly notRun: boolean;

	constructor(reason: TargetError['reason'], options: {refusal?: Refusal; status?: number; retryAfterMs?: number; notRun?: boolean} = {}) {
		super(`unusable response from target: ${reason}`);
		this.name = 'TargetError';
		this.reason = reason;
		this.refusal = options.refusal;
		this.status = options.status;
		this.retryAfterMs = options.retryAfterMs;
		this.notRun = options.notRun ?? false;
	}
}
