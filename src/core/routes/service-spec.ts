import type {ServiceName} from '../ids/service-name.ts';

/** One service of the routes document. */
export type ServiceSpec = {
	readonly name: ServiceName;
	/** Set for a service of model engines; a service without it is a plain service, which answers calls. */
	readonly engine?: {
		readonly slots: number;
		/** Tokens that the engine's key-value cache holds. */
		readonly cacheTokens: number;
		/** Output tokens in one event of a stream. */
		readonly tokensPerEvent: number;
	};
};
