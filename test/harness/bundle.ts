import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const bundles = new Map<string, Promise<string>>();

/** Source maps of the other bundles take 60 MB of a process's memory, which the build of `scripts/build-platform.ts` does not have. */
const shippedOptions = {
	minifySyntax: true, minifyWhitespace: true, charset: 'ascii', sourcemap: false,
} as const;

/**
 * Bundles the entry file of a program once per process, so that its many child processes start fast; returns the path of the bundle, which is deleted when this process exits.
 *
 * @param options.asShipped - True for tests that measure memory: builds as the platform's build does, without source maps. @default false
 */
export async function bundle(entryFile: string, {asShipped = false}: {readonly asShipped?: boolean} = {}): Promise<string> {
	const key = `${entryFile} ${asShipped}`;
	const known = bundles.get(key);
	if (known) {
		return known;
	}

	const made = makeBundle(entryFile, asShipped);
	bundles.set(key, made);
	return made;
}

async function makeBundle(entryFile: string, asShipped: boolean): Promise<string> {
	const folder = mkdtempSync(path.join(tmpdir(), 'lovageferry-bundle-'));
	process.on('exit', () => {
		rmSync(folder, {recursive: true, force: true});
	});
	const outfile = path.join(folder, path.basename(entryFile, '.ts') + '.cjs');
	await build({
		entryPoints: [entryFile], outfile, bundle: true, platform: 'node', format: 'cjs', target: 'node20', sourcemap: 'inline', logLevel: 'error', ...(asShipped ? shippedOptions : {}),
	});
	return outfile;
}
