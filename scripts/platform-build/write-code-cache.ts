import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {stringify} from 'yaml';
import {bundleFiles} from '../../src/bundle/bundle-files.ts';
import {loadBundle} from '../../src/bundle/load-bundle.ts';
import {serveSampleTraffic} from './serve-sample-traffic.ts';

/** Time for which the processes run on after the traffic, in milliseconds: they exchange further statuses and feeds. */
const idleMs = 600;
const firstPort = 20_000 + Math.floor(Math.random() * 10_000);
const ip = '127.0.0.1';

const [folder = 'target'] = process.argv.slice(2);
const scratch = mkdtempSync(path.join(tmpdir(), 'lovageferry-build-'));
process.on('exit', () => {
	rmSync(scratch, {recursive: true, force: true});
});

const portOf = (offset: number) => `${ip}:${firstPort + offset}`;

/** Settings of one process of a deployment of two on this machine. */
function writeSettings(role: 'entry' | 'control'): string {
	const file = path.join(scratch, `${role}.yaml`);
	writeFileSync(file, stringify({
		mode: 'routes',
		role,
		node: role,
		zone: 'zone',
		region: 'region',
		zones: {zone: 'region'},
		internal: {ip, firstPort, lastPort: firstPort + 15},
		controlSeeds: [portOf(16)],
		firstStart: true,
		cores: 1,
		reportEveryMs: 1000,
		graceMs: 1000,
		toleratedDisks: 0,
		...(role === 'entry'
			? {listen: {callers: portOf(17), readiness: portOf(18)}, repeats: {ratio: 0.2, slack: 50, windowMs: 10_000}}
			: {listen: {operators: portOf(16), directory: portOf(19)}, dataFolder: path.join(scratch, 'data')}),
	}));
	return file;
}

// Functions are in the cache only once they have been compiled, so a process of each role runs and serves requests: an
// entry that has just started has a part of a core to compile them with, while its first callers wait.
const file = path.join(folder, bundleFiles.bundle);
const bundle = loadBundle({file: path.resolve(file), source: readFileSync(file, 'latin1')});
for (const role of ['control', 'entry'] as const) {
	process.argv = [process.execPath, path.join(folder, bundleFiles.launcher), 'run', writeSettings(role)];
	bundle.run();
}

try {
	await serveSampleTraffic({operators: portOf(16), callers: portOf(17), relay: portOf(1)});
} catch (error) {
	process.stderr.write(`The code cache lacks the request path: ${(error as Error).message}\n`);
}

await sleep(idleMs);
writeFileSync(path.join(folder, bundleFiles.codeCache), bundle.script.createCachedData());
process.exit(0); // eslint-disable-line unicorn/no-process-exit
