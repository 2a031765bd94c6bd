import process from 'node:process';
import {CommandError} from './command-error.ts';
import {exitCodes} from './exit-codes.ts';
import {readLogFiles} from './read-log-files.ts';
import {readLogLines} from './read-log-lines.ts';
import {startTimeline} from './start-timeline.ts';

/** Prints how long each stage of the start of processes took, from their structured logs. */
export function timeline(files: readonly string[]): void {
	const lines = startTimeline(readLogFiles(files).flatMap(text => readLogLines(text)));
	if (lines.length === 0) {
		throw new CommandError('no process starts in these logs: name logs that begin before the processes do', exitCodes.failed);
	}

	process.stdout.write(`${lines.join('\n')}\n`);
}
