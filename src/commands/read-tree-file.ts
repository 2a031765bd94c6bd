import {readFileSync} from 'node:fs';
import {parseDocument} from 'yaml';
import {CommandError} from './command-error.ts';
import {exitCodes} from './exit-codes.ts';

type TreeFile = Record<string, Record<string, unknown> | null>;

/**
 * Reads a YAML file that maps tree paths to settings.
 *
 * @throws CommandError if it cannot be read or does not map paths to settings.
 */
export function readTreeFile(file: string): TreeFile {
	const document = parseDocument(readText(file));
	const [problem] = document.errors;
	if (problem) {
		const [line] = problem.message.split('\n', 1);
		throw usageError(`${file}: ${line!.replace(/:$/v, '')}: correct the YAML.`);
	}

	const content = document.toJS() as unknown;
	if (!isMapping(content)) {
		throw usageError(`${file}: must map tree paths to settings, such as "prairie/print: {}".`);
	}

	for (const [path, settings] of Object.entries(content)) {
		if (settings !== null && !isMapping(settings)) {
			throw usageError(`${file}: ${path}: must map keys to values; write {} for a node without settings.`);
		}
	}

	return content as TreeFile;
}

function readText(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		throw usageError(`${file}: cannot be read (${(error as NodeJS.ErrnoException).code}): check the path.`);
	}
}

function isMapping(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function usageError(message: string): CommandError {
	return new CommandError(message, exitCodes.usage);
}
