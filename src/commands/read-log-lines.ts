import type {LogLine} from './log-line.ts';

/** Reads the structured lines of a log. Text before the JSON of a line and lines without JSON are skipped. */
export function readLogLines(text: string): readonly LogLine[] {
	const lines: LogLine[] = [];
	for (const line of text.split('\n')) {
		const start = line.indexOf('{"level":');
		if (start === -1) {
			continue;
		}

		try {
			const entry = JSON.parse(line.slice(start)) as LogLine;
			if (typeof entry.time === 'string' && typeof entry.msg === 'string') {
				lines.push(entry);
			}
		} catch {
			// Skips a truncated line.
		}
	}

	return lines;
}
