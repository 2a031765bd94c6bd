import {readFileSync} from 'node:fs';
import {CommandError} from './command-error.ts';
import {exitCodes} from './exit-codes.ts';

/** Reads log files. @throws CommandError that names the first file that cannot be read. */
export function readLogFiles(files: readonly string[]): readonly string[] {
	return files.map(file => {
		try {
			return readFileSync(file, 'utf8');
		} catch (error) {
			throw new CommandError(`${file}: cannot be read (${(error as NodeJS.ErrnoException).code}): name a readable log file`, exitCodes.usage);
		}
	});
}
