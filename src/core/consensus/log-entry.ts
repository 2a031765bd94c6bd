import type {Configuration} from './configuration.ts';
import type {LogCommand} from './log-command.ts';

/** One entry of the replicated log. */
export type LogEntry = {
	readonly index: number;
	readonly term: number;
	readonly content:
		| {readonly type: 'command'; readonly command: LogCommand}
		| {readonly type: 'configuration'; readonly configuration: Configuration};
};
