import {readFileSync} from 'node:fs';

/** True if a file holds a routes document, which is a JSON object, and not settings, which are YAML. A file that cannot be read counts as settings. */
export function isRoutesDocument(file: string): boolean {
	try {
		return readFileSync(file, 'utf8').trimStart().startsWith('{');
	} catch {
		return false;
	}
}
