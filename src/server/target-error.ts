import type {Refusal} from '../core/results/refusal.ts';

/** A target's or a peer's answer that is no answer to the request. */
export class TargetError extends Error {
	readonly reason: 'truncated' | 'refused' | 'error-status';
	readonly refusal?: Refusal;
	readonly status?: number;
	readonly retryAfterMs?: number;
	/** True if the target says that it ran no part of the request. */
	readonly notRun: boolean;

	constructor(reason: TargetError['reason'], options: {refusal?: Refusal; status?: number; retryAfterMs?: number; notRun?: boolean} = {}) {
		super(`the target's answer is no answer: ${reason}`);
		this.name = 'TargetError';
		this.reason = reason;
		this.refusal = options.refusal;
		this.status = options.status;
		this.retryAfterMs = options.retryAfterMs;
		this.notRun = options.notRun ?? false;
	}
}
