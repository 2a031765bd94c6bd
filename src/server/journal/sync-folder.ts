import {open} from 'node:fs/promises';

/** Syncs a folder, so that creations, renames and removals of files in it survive a crash. */
export async function syncFolder(folder: string): Promise<void> {
	const handle = await open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
}
