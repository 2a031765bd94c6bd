import type {Configuration} from './configuration.ts';

/** The replicated state after entry `index`, with the configuration in force at that index. */
export type LogSnapshot = {
	readonly index: number;
	readonly term: number;
	readonly configuration: Configuration;
	readonly state: unknown;
};
