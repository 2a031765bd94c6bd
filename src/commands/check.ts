import process from 'node:process';
import {loadSettings} from '../settings/load-settings.ts';
import {SettingsError} from '../settings/settings-error.ts';
import {exitCodes} from './exit-codes.ts';

/** Checks a settings file and prints every problem, each with file, key and remedy. */
export function check(settings: string): void {
	try {
		loadSettings(settings, Date.now());
		process.stdout.write(`${settings}: valid\n`);
	} catch (error) {
		if (!(error instanceof SettingsError)) {
			throw error;
		}

		process.stderr.write(`${error.message}\n`);
		process.exitCode = exitCodes.usage;
	}
}
