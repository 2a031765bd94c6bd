import process from 'node:process';
import {CommandError} from './command-error.ts';
import {exitCodes} from './exit-codes.ts';
import {explainRequest} from './explain-request.ts';
import {readLogFiles} from './read-log-files.ts';

/** Prints the timeline of one request from the structured logs of several processes; the last line is the cause of its outcome. */
export function explain(request: string, files: readonly string[]): void {
	const lines = explainRequest(request, readLogFiles(files));
	if (lines.length === 0) {
		throw new CommandError(`request ${request} is not in these logs: successful requests are logged only at level debug`, exitCodes.failed);
	}

	process.stdout.write(`${lines.join('\n')}\n`);
}
