import {open, rename, rm} from 'node:fs/promises';
import path from 'node:path';
import {syncFolder} from './sync-folder.ts';

/** Replaces the content of a file atomically: after a crash it has either the old or the new content. */
export async function replaceFile(file: string, content: Uint8Array): Promise<void> {
	const temporary = `${file}.new`;
	try {
		await writeSynced(temporary, content);
		await rename(temporary, file);
	} catch (error) {
		await removeIfPossible(temporary);
		throw error;
	}

	await syncFolder(path.dirname(file));
}

async function writeSynced(file: string, content: Uint8Array): Promise<void> {
	const handle = await open(file, 'w', 0o600);
	try {
		await handle.writeFile(content);
		await handle.sync();
	} finally {
		await handle.close();
	}
}

/** Frees the space of a file that was only partly written. */
async function removeIfPossible(file: string): Promise<void> {
	try {
		await rm(file, {force: true});
	} catch {
		// The error that made the file useless is reported instead.
	}
}
