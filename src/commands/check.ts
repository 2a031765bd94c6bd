import process from 'node:process';
import type {PlatformAdapter} from '../server/routes/platform-adapter.ts';
import {loadRoutesSettings} from '../settings/load-routes-settings.ts';
import {loadSettings} from '../settings/load-settings.ts';
import {readSettingsMode} from '../settings/read-settings-mode.ts';
import {SettingsError} from '../settings/settings-error.ts';
import {checkDocument} from './check-document.ts';
import {CommandError} from './command-error.ts';
import {exitCodes} from './exit-codes.ts';
import {isRoutesDocument} from './is-routes-document.ts';

type CheckOptions = {
	readonly adapter?: PlatformAdapter;
	/** For a routes document: file, or `ip:port` of a control node, with the document to compare with. */
	readonly against?: string;
	/** For a routes document: print JSON. @default false */
	readonly json?: boolean;
};

/** Checks a settings file, or a routes document before it is sent, and prints every problem, each with file, key and remedy. */
export async function check(file: string, {adapter, ...options}: CheckOptions = {}): Promise<void> {
	if (!isRoutesDocument(file)) {
		checkSettings(file);
		return;
	}

	if (adapter === undefined) {
		throw new CommandError(`${file}: routes documents are read by a platform's build: run that one`, exitCodes.usage);
	}

	await checkDocument(file, {codec: adapter.control, ...options});
}

function checkSettings(settings: string): void {
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
