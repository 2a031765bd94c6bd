import {setTimeout as sleep} from 'node:timers/promises';
import {DataFolder} from './data-folder.ts';
import {FolderError} from './folder-error.ts';

/** Interval between attempts to open a folder whose disk cannot be written, in milliseconds. */
const retryIntervalMs = 500;
/** Errors of a disk that is full or fails, which may pass; others need an operator. */
const diskErrorCodes: ReadonlySet<string | undefined> = new Set(['ENOSPC', 'EDQUOT', 'EFBIG', 'EIO']);

type OpenOptions = {
	readonly onFailed: (reason: string) => void;
	readonly onRegained: () => void;
	/** Ends the wait, for example since the process has to stop. */
	readonly signal?: AbortSignal;
};

/**
 * Opens a data folder, after a wait if its disk is full or fails: for a supervisor that would look like a damaged folder.
 *
 * @throws FolderError if the folder cannot be used for another reason, or an `AbortError` if the wait is ended.
 */
export async function openWhenWritable(folder: string, {onFailed, onRegained, signal}: OpenOptions): Promise<DataFolder> {
	for (let failed = false; ; failed = true) {
		try {
			const opened = await DataFolder.open(folder); // eslint-disable-line no-await-in-loop
			if (failed) {
				onRegained();
			}

			return opened;
		} catch (error) {
			if (!isDiskError(error)) {
				throw error;
			}

			if (!failed) {
				onFailed((error as Error).message);
			}
		}

		await sleep(retryIntervalMs, undefined, {signal}); // eslint-disable-line no-await-in-loop
	}
}

function isDiskError(error: unknown): boolean {
	return error instanceof FolderError && diskErrorCodes.has((error.cause as NodeJS.ErrnoException | undefined)?.code);
}
