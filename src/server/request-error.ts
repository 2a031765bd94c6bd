import type {Refusal} from '../core/results/refusal.ts';

/** A caller's request that cannot be taken, with the refusal to give. */
export class RequestError extends Error {
	readonly refusal: Refusal;

	constructor(refusal: Refusal) {
		super(refusal.detail ?? refusal.result);
		this.name = 'RequestError';
		this.refusal = refusal;
	}
}
