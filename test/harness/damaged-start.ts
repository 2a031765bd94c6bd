import {setTimeout as delay} from 'node:timers/promises';
import {canConnect} from '../../src/server/can-connect.ts';
import {FirstRead} from './first-read.ts';
import type {ManagedProcess} from './managed-process.ts';

type Options = {
	readonly managed: ManagedProcess;
	readonly settingsFile: string;
	/** Addresses (`ip:port`) at which the process would serve. */
	readonly addresses: readonly string[];
};

/** Time within which a process with a damaged data folder must exit by itself once it reads its settings, in milliseconds. */
const exitTimeoutMs = 3000;
/** Time within which a process must begin to read its settings, as each other start of a process has, in milliseconds. */
const loadTimeoutMs = 30_000;
const damagedExitCode = 6;
const pollMs = 50;
const connectTimeoutMs = 1000;

/**
 * Starts a process whose data folder is damaged and returns what it did wrong, as the rest of a sentence about it: it must
 * never open a port, and must end by itself with its exit code. The time for which Node loads the program doesn't count,
 * where the file system tells when the settings were read; elsewhere the time counts from the start.
 */
export async function damagedStart({managed, settingsFile, addresses}: Options): Promise<string | undefined> {
	const settingsRead = FirstRead.watch(settingsFile);
	managed.start();
	const startedAt = Date.now();
	let readAt = settingsRead ? undefined : startedAt;
	while (managed.up) {
		const now = Date.now();
		// Looked at before the connections are tried, so that their time counts.
		if (settingsRead?.happened) {
			readAt ??= now;
		}

		const served = await Promise.all(addresses.map(async address => canConnect(address, connectTimeoutMs))); // eslint-disable-line no-await-in-loop
		if (served.includes(true)) {
			return 'runs on a damaged data folder';
		}

		if (!managed.up) {
			break;
		}

		if (readAt !== undefined && now - readAt > exitTimeoutMs) {
			return `has not ended within ${exitTimeoutMs} ms on a damaged data folder, and does not serve`;
		}

		if (readAt === undefined && now - startedAt > loadTimeoutMs) {
			return `has not begun to read its settings within ${loadTimeoutMs} ms`;
		}

		await delay(pollMs); // eslint-disable-line no-await-in-loop
	}

	return managed.exitCode === damagedExitCode ? undefined : `ended with ${managed.exitCode} on a damaged data folder instead of ${damagedExitCode}`;
}
