import type {LogEntry} from './log-entry.ts';

/** Rough size of an entry: its number of operations, at least 1. */
export function entryWeight({content}: LogEntry): number {
	if (content.type === 'command' && content.command.type === 'change') {
		return content.command.change.operations.length + 1;
	}

	return 1;
}
