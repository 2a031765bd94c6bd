import {existsSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {bundleFiles} from './bundle-files.ts';
import {loadBundle} from './load-bundle.ts';

// Entry point of the platform's build: starts the bundle beside it.
const folder = path.dirname(path.resolve(process.argv[1]!));
const file = path.join(folder, bundleFiles.bundle);
const cache = path.join(folder, bundleFiles.codeCache);
loadBundle({
	file, source: readFileSync(file, 'latin1'), cachedData: existsSync(cache) ? readFileSync(cache) : undefined,
}).run();
