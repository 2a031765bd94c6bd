import {execFileSync} from 'node:child_process';
import {rmSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build, type BuildOptions} from 'esbuild';
import {bundleFiles} from '../src/bundle/bundle-files.ts';
import {nodeFlags} from './platform-build/node-flags.ts';

const folder = 'target';
/** Attempts to write the code cache: one fails if another process takes a port that it needs. */
const cacheAttempts = 3;
const cacheTimeoutMs = 20_000;

const options: BuildOptions = {
	bundle: true,
	minifySyntax: true,
	minifyWhitespace: true,
	charset: 'ascii',
	platform: 'node',
	format: 'cjs',
	target: 'node20',
	logLevel: 'warning',
};

/** Builds the bundle for the platform, the product with the platform's formats, and its code cache. */
rmSync(path.join(folder, bundleFiles.codeCache), {force: true});
await build({
	...options, entryPoints: ['platform/main.ts'], inject: ['scripts/platform-build/global-headers.ts'], outfile: path.join(folder, bundleFiles.bundle),
});
await build({...options, entryPoints: ['src/bundle/launcher.ts'], outfile: path.join(folder, bundleFiles.launcher)});
writeCodeCache();
process.stdout.write(`${path.join(folder, bundleFiles.launcher)}\n`);

/** Writes the code cache in a process with the flags of the deployed one, since V8 rejects a cache made under others. The program runs without it, too. */
function writeCodeCache(): void {
	for (let attempt = 1; attempt <= cacheAttempts; attempt++) {
		try {
			execFileSync(process.execPath, [...nodeFlags, '--import=tsx', 'scripts/platform-build/write-code-cache.ts', folder], {
				stdio: ['ignore', 'ignore', 'inherit'], timeout: cacheTimeoutMs,
			});
			return;
		} catch (error) {
			process.stderr.write(`The code cache was not written (attempt ${attempt} of ${cacheAttempts}): ${(error as Error).message}\n`);
		}
	}
}
