import type {Refusal} from '../core/results/refusal.ts';

/** A caller's request is refused before it reaches the core. */
export class RequestError extends Error {
	readonly refusal: Refusal;

	constructor(refusal: Refusal) {
		super(refusal.detail ?? refusal.result);
		this.name = 'RequestError';
		this.refusal = refusal;
	}
}
