import {open, rename} from 'node:fs/promises';
import path from 'node:path';
import {syncFolder} from './sync-folder.ts';

/** Replaces the content of a file atomically: after a crash it has either the old or the new content. */
export async function replaceFile(file: string, content: Uint8Array): Promise<void> {
	const temporary = `${file}.new`;
	const handle = await open(temporary, 'w', 0o600);
	try {
		await handle.writeFile(content);
		await handle.sync();
	} finally {
		await handle.close();
	}

	await rename(temporary, file);
	await syncFolder(path.dirname(file));
}
