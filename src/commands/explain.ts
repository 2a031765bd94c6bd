import {readFileSync} from 'node:fs';
import process from 'node:process';
import {CommandError} from './command-error.ts';
import {exitCodes} from './exit-codes.ts';
import {explainRequest} from './explain-request.ts';

/** Prints the timeline of one request out of the structured logs of several processes, with its cause last. */
export function explain(request: string, files: readonly string[]): void {
	const texts = files.map(file => {
		try {
			return readFileSync(file, 'utf8');
		} catch (error) {
			throw new CommandError(`${file}: cannot be read (${(error as NodeJS.ErrnoException).code}): name log files`, exitCodes.usage);
		}
	});
	const lines = explainRequest(request, texts);
	if (lines.length === 0) {
		throw new CommandError(`no line of these logs names request ${request}: requests that were served are logged at level debug only`, exitCodes.failed);
	}

	process.stdout.write(`${lines.join('\n')}\n`);
}
