import process from 'node:process';
import {loadRoutesSettings} from '../settings/load-routes-settings.ts';
import {loadSettings} from '../settings/load-settings.ts';
import {readSettingsMode} from '../settings/read-settings-mode.ts';
import {SettingsError} from '../settings/settings-error.ts';
import {exitCodes} from './exit-codes.ts';

/** Checks a settings file and prints every problem, each with file, key and remedy. */
export function check(settings: string): void {
	try {
		if (readSettingsMode(settings) === 'routes') {
			loadRoutesSettings(settings);
		} else {
			loadSettings(settings, Date.now());
		}

		process.stdout.write(`${settings}: valid\n`);
	} catch (error) {
		if (!(error instanceof SettingsError)) {
			throw error;
		}

		process.stderr.write(`${error.message}\n`);
		process.exitCode = exitCodes.usage;
	}
}
