import type {ServiceName} from '../ids/service-name.ts';

/** How far off the predicted starts of a service's requests were lately. */
export type StartError = {
	readonly service: ServiceName;
	/** Measured time to the start divided by the predicted one: the ratio that half, and nine of ten, requests do not exceed. */
	readonly median: number;
	readonly p90: number;
};
