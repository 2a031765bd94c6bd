import {execFileSync, spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {stringify} from 'yaml';
import {bundleFiles} from '../src/bundle/bundle-files.ts';
import {nodeFlags} from '../scripts/platform-build/node-flags.ts';
import {printRows} from './print-rows.ts';

type StartRow = {readonly process: string; readonly cpuSeconds: number; readonly residentMb: number; readonly timeRatio: number; readonly memoryRatio: number};
type Usage = {readonly cpuSeconds: number; readonly residentMb: number};

const runs = 7;
const ip = '127.0.0.1';
/** Clock ticks a second in /proc/PID/stat; fixed on Linux. */
const ticksPerSecond = 100;
const pageBytes = 4096;
/** Ports below those that the system hands out to clients. */
const portBase = 20_000;
const portSpan = 10_000;
const megabyte = 1_048_576;
const startTimeoutMs = 10_000;
const target = path.join('target', bundleFiles.launcher);

/** Measures processor time and resident memory of an entry and a control node of the platform's build until they have started, as ratios to a bare Node process; medians of several runs. */
export async function benchStart(options: {json: boolean}): Promise<readonly StartRow[]> {
	execFileSync('npx', ['tsx', 'scripts/build-platform.ts'], {stdio: 'ignore'});
	const bare = await medianUsage(async () => measure(['-e', String.raw`console.log("\"msg\":\"started\""); setInterval(() => {}, 1000)`]));
	const rows: StartRow[] = [];
	for (const role of ['entry', 'control'] as const) {
		const usage = await medianUsage(async () => measureRole(role)); // eslint-disable-line no-await-in-loop
		rows.push({
			process: role, ...usage, timeRatio: usage.cpuSeconds / bare.cpuSeconds, memoryRatio: usage.residentMb / bare.residentMb,
		});
	}

	const all = [{
		process: 'bare node', ...bare, timeRatio: 1, memoryRatio: 1,
	}, ...rows];
	printRows(all, options.json);
	return all;
}

async function measureRole(role: 'entry' | 'control'): Promise<Usage> {
	const folder = mkdtempSync(path.join(tmpdir(), 'lovageferry-start-'));
	try {
		const firstPort = portBase + Math.floor(Math.random() * portSpan);
		const portOf = (offset: number) => `${ip}:${firstPort + offset}`;
		const file = path.join(folder, 'settings.yaml');
		writeFileSync(file, stringify({
			mode: 'routes', role, node: role, zone: 'zone', region: 'region', zones: {zone: 'region'},
			internal: {ip, firstPort, lastPort: firstPort + 15}, controlSeeds: [portOf(16)],
			...(role === 'entry'
				? {listen: {callers: portOf(17), readiness: portOf(18)}}
				: {listen: {operators: portOf(16), directory: portOf(19)}, dataFolder: path.join(folder, 'data')}),
		}));
		return await measure([...nodeFlags, target, 'run', file]);
	} finally {
		rmSync(folder, {recursive: true, force: true});
	}
}

/** Starts a Node process, waits for its "started" line, and reads what it has used until then. */
async function measure(args: readonly string[]): Promise<Usage> {
	const child = spawn(process.execPath, args, {stdio: ['ignore', 'pipe', 'inherit']});
	try {
		let output = '';
		const started = new Promise<void>((resolve, reject) => {
			child.stdout.on('data', (chunk: Uint8Array) => {
				output += String(chunk);
				if (output.includes('"msg":"started"')) {
					resolve();
				}
			});
			child.once('exit', code => {
				reject(new Error(`the process ended with code ${code} before it had started`));
			});
		});
		const timer = setTimeout(() => child.kill('SIGKILL'), startTimeoutMs);
		await started;
		clearTimeout(timer);
		return readUsage(child.pid!);
	} finally {
		child.kill('SIGKILL');
	}
}

function readUsage(pid: number): Usage {
	// The second field is the command in parentheses, which may contain spaces.
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	const [userTicks, systemTicks, residentPages] = [fields[11], fields[12], fields[21]].map(Number);
	return {cpuSeconds: (userTicks! + systemTicks!) / ticksPerSecond, residentMb: residentPages! * pageBytes / megabyte};
}

async function medianUsage(run: () => Promise<Usage>): Promise<Usage> {
	const results: Usage[] = [];
	for (let index = 0; index < runs; index++) {
		results.push(await run()); // eslint-disable-line no-await-in-loop
	}

	const median = (pick: (usage: Usage) => number) => results.map(usage => pick(usage)).sort((left, right) => left - right)[Math.floor(runs / 2)]!;
	return {cpuSeconds: median(({cpuSeconds}) => cpuSeconds), residentMb: median(({residentMb}) => residentMb)};
}
