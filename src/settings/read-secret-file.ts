import {readFileSync, statSync} from 'node:fs';
import {SettingsError} from './settings-error.ts';

const groupAndOthersMask = 0o077;

/**
 * Reads a file that holds a secret.
 *
 * @throws SettingsError if it cannot be read, is empty or may be read by other users.
 */
export function readSecretFile(file: string, key: string): string {
	let text;
	let mode;
	try {
		text = readFileSync(file, 'utf8').trim();
		mode = statSync(file).mode;
	} catch (error) {
		throw new SettingsError([`${file}: ${key}: cannot be read (${(error as NodeJS.ErrnoException).code}): create it with mode 0600`]);
	}

	if ((mode & groupAndOthersMask) !== 0) {
		throw new SettingsError([`${file}: ${key}: may be read by other users: run chmod 600 on it`]);
	}

	if (text === '') {
		throw new SettingsError([`${file}: ${key}: is empty: write the secret into it`]);
	}

	return text;
}
