import type {ServiceName} from '../ids/service-name.ts';

/** One service of the routes document. */
export type ServiceSpec = {
	readonly name: ServiceName;
	/** Connections that a target takes from all callers together. */
	readonly connectionLimit: number;
	/** Time for which a target is cold after its start, in milliseconds. */
	readonly coldMs: number;
	/** Set for model engines. */
	readonly engine?: {
		readonly slots: number;
		/** Tokens that the engine's key-value cache holds. */
		readonly cacheTokens: number;
		/** Output tokens in one event of a stream. */
		readonly tokensPerEvent: number;
	};
};
