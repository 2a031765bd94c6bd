import type {Configuration} from './configuration.ts';

/** The replicated state after the entry `index`, with the configuration in force there. */
export type LogSnapshot = {
	readonly index: number;
	readonly term: number;
	readonly configuration: Configuration;
	readonly state: unknown;
};
