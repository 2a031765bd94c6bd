import {existsSync, readFileSync} from 'node:fs';
import type {ClientOptions} from './client-options.ts';
import type {CommandLineOptions} from './command-line-options.ts';

/** Resolves the options of an operators' command; a missing key file means no key. */
export function resolveClientOptions(options: CommandLineOptions): ClientOptions {
	const entries = [options.entry ?? '127.0.0.1:7101'].flat();
	const file = options.keyFile ?? 'operator.key';
	return {
		entries,
		key: existsSync(file) ? readFileSync(file, 'utf8').trim() : '',
		json: options.json === true,
	};
}
