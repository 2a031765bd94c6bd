import {open} from 'node:fs/promises';

/** Syncs a folder, so that files created, renamed or removed in it stay so. */
export async function syncFolder(folder: string): Promise<void> {
	const handle = await open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
}
