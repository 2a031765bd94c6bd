import type {LogEntry} from './log-entry.ts';

/** Rough size of an entry: 1, plus the number of operations if it is a change. */
export function logEntryWeight({content}: LogEntry): number {
	if (content.type === 'command' && content.command.type === 'change') {
		return content.command.change.operations.length + 1;
	}

	return 1;
}
