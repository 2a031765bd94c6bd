import {readFileSync} from 'node:fs';
import {isAddress} from '../settings/is-address.ts';
import type {ClientOptions} from './client-options.ts';
import {CommandError} from './command-error.ts';
import type {CommandLineOptions} from './command-line-options.ts';
import {exitCodes} from './exit-codes.ts';

/**
 * Resolves the options of an operator command: default entry, key read from its file.
 *
 * @throws CommandError if an entry is not an address or the key file cannot be read.
 */
export function resolveClientOptions(options: CommandLineOptions): ClientOptions {
	const entries = [options.entry ?? '127.0.0.1:7101'].flat().map(String);
	const wrong = entries.find(entry => !isAddress(entry));
	if (wrong !== undefined) {
		throw new CommandError(`--entry ${wrong}: must be an IPv4 address and a port, such as 10.0.0.1:7101.`, exitCodes.usage);
	}

	return {
		entries,
		key: readKey(String(options.keyFile ?? 'operator.key')),
		json: options.json === true,
	};
}

function readKey(file: string): string {
	try {
		return readFileSync(file, 'utf8').trim();
	} catch (error) {
		const {code} = error as NodeJS.ErrnoException;
		throw new CommandError(`${file}: --key-file: cannot be read (${code}): name the file that holds your operator key.`, exitCodes.usage);
	}
}
