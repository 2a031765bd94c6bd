import {readFileSync} from 'node:fs';
import {parseDocument} from 'yaml';

/**
 * Reads which kind of deployment a settings file belongs to: one with a settings tree or one with a routes document.
 * An unreadable file counts as `tree`; loading it then reports the problem.
 */
export function readSettingsMode(file: string): 'tree' | 'routes' {
	try {
		const settings = parseDocument(readFileSync(file, 'utf8')).toJS() as {mode?: unknown} | null;
		return settings?.mode === 'routes' ? 'routes' : 'tree';
	} catch {
		return 'tree';
	}
}
