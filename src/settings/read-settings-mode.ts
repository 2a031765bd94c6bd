import {readFileSync} from 'node:fs';
import {parseDocument} from 'yaml';

/** Which kind of deployment a settings file is for: one with a settings tree, or one with a routes document. A file that cannot be read counts as the first, whose check names what is wrong. */
export function readSettingsMode(file: string): 'tree' | 'routes' {
	try {
		const settings = parseDocument(readFileSync(file, 'utf8')).toJS() as {mode?: unknown} | null;
		return settings?.mode === 'routes' ? 'routes' : 'tree';
	} catch {
		return 'tree';
	}
}
