import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const bundles = new Map<string, Promise<string>>();

/** Bundles the entry file of a program once per process, so that its many child processes start fast; returns the path of the bundle, which is deleted when this process exits. */
export async function bundle(entryFile: string): Promise<string> {
	const known = bundles.get(entryFile);
	if (known) {
		return known;
	}

	const made = makeBundle(entryFile);
	bundles.set(entryFile, made);
	return made;
}

async function makeBundle(entryFile: string): Promise<string> {
	const folder = mkdtempSync(path.join(tmpdir(), 'lovageferry-bundle-'));
	process.on('exit', () => {
		rmSync(folder, {recursive: true, force: true});
	});
	const outfile = path.join(folder, path.basename(entryFile, '.ts') + '.cjs');
	await build({
		entryPoints: [entryFile], outfile, bundle: true, platform: 'node', format: 'cjs', target: 'node20', sourcemap: 'inline', logLevel: 'error',
	});
	return outfile;
}
