import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {readdir, readFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from './call.js';
import {Engine} from './engine.js';
import {freePorts} from './free-ports.js';

/** Ports for the traffic between processes. */
const internalPorts = 16;
/** Ports of every machine, which has a loopback address of its own. */
const names = ['frontend', 'ready', 'control', 'directory', 'engine', 'entryMetrics', 'controlMetrics'];
const firstPort = await freePorts(names.length + internalPorts);
const ports = {
	...Object.fromEntries(names.map((name, index) => [name, firstPort + index])), firstInternal: firstPort + names.length, lastInternal: firstPort + names.length + internalPorts - 1,
};
const startTimeoutMs = 40_000;
const pollMs = 200;
/** As the small sites have it. */
const defaults = {
	heartbeatMs: 1200, graceMs: 8000, memoryMb: {entry: 350, control: 346}, cores: {entry: 0.675, control: 1.62}, toleratedDisks: 2, repeats: {ratio: 0.2, slack: 54, windowMs: 10_000},
};
const zones = {'muscat-a': 'muscat', 'sohar-a': 'sohar', 'salalah-a': 'salalah'};
const controlZones = ['muscat-a', 'muscat-a', 'sohar-a', 'sohar-a', 'salalah-a'];

/** The programs of a small deployment, each as a process of its own at a loopback address of its own, with stand-ins for its engines and its operator. */
export class Deployment {
	controls = [];
	entries = [];
	engines = [];
	/** Further processes that the case has started. */
	helpers = [];
	#record;
	#subnet;
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#root;
	#isClosing = false;
	#descriptors;
	#nextHost = 1;

	/** @param options - `record`, `root` (of the repository), `entryZones`, one for each entry, and `descriptors`, the limit of each process, if any. */
	constructor({record, root, entryZones, descriptors}) {
		this.#descriptors = descriptors;
		this.#record = record;
		this.#root = root;
		this.#subnet = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
		this.controls = controlZones.map((zone, index) => this.#createMachine('control', zone, index + 1));
		this.entries = entryZones.map((zone, index) => this.#createMachine('entry', zone, index + 1));
	}

	/** Starts all processes for the first time. */
	launchAll() {
		for (const machine of [...this.controls, ...this.entries]) {
			this.launch(machine, {firstStart: true});
		}
	}

	/** Kills the process of a machine, as at a loss of power. */
	async kill(machine) {
		const {child} = machine;
		machine.isEndWanted = true;
		const ended = new Promise(resolve => {
			child.once('exit', resolve);
		});
		child.kill('SIGKILL');
		await ended;
	}

	/** Removes what is on the disk of a machine that doesn't run. */
	loseDisk({content}) {
		rmSync(content.dataFolder, {recursive: true, force: true});
	}

	/** Starts all processes, puts a configuration in force and starts engines. */
	async start({configuration, engines}) {
		this.launchAll();
		await this.waitFor('an accepted configuration', async () => {
			const {status} = await this.putConfiguration(configuration);
			return status === 200;
		});
		for (const engine of engines) {
			await this.addEngine(engine); // eslint-disable-line no-await-in-loop
		}

		for (const entry of this.entries) {
			await this.waitFor(`${entry.name} to be ready`, async () => { // eslint-disable-line no-await-in-loop
				const {status} = await call({
					host: entry.host, port: ports.ready, path: '/readiness', timeoutMs: 1000,
				});
				return status === 200;
			});
		}

		await sleep(2 * defaults.heartbeatMs);
	}

	async addEngine({service, zone, slots, run}) {
		const engine = new Engine({
			id: `i-${this.engines.length + 1}`, host: this.#newHost(), port: ports.engine, service, zone, slots, run, call, heartbeatMs: defaults.heartbeatMs, controls: this.controls.map(({host}) => ({host, port: ports.control})),
		});
		this.engines.push(engine);
		await engine.start();
		return engine;
	}

	/** Starts the process of a machine with the command of the deploy file. */
	launch(machine, {firstStart = false} = {}) {
		writeFileSync(machine.settings, JSON.stringify({...machine.content, firstStart}));
		const command = ['node', '--max-old-space-size=192', 'target/lovageferry.cjs', 'run', machine.settings];
		const options = {cwd: this.#root, stdio: ['ignore', 'pipe', 'pipe']};
		const child = this.#descriptors === undefined
			? spawn(command[0], command.slice(1), options)
			: spawn('sh', ['-c', `ulimit -n ${this.#descriptors} 2> /dev/null; exec "$@"`, 'sh', ...command], options);
		machine.child = child;
		machine.isEndWanted = false;
		machine.log = '';
		const keep = chunk => {
			machine.log = (machine.log + chunk).slice(-20_000);
		};

		child.stdout.on('data', keep);
		child.stderr.on('data', keep);
		child.once('exit', (code, signal) => {
			machine.child = undefined;
			if (!this.#isClosing && !machine.isEndWanted) {
				const reason = /FATAL ERROR: [^\n]*|Error: [^\n]*/.exec(machine.log)?.[0] ?? 'no reason given';
				machine.ends.push({code, signal, reason});
				this.#record.add(`${machine.name} ENDED BY ITSELF: code ${code}, signal ${signal}: ${reason}`);
			}
		});
	}

	/** Memory that the process of a machine has resident, in MB; 0 if it has none. */
	async memoryOf({child}) {
		if (child === undefined) {
			return {nowMb: 0};
		}

		try {
			const status = await readFile(`/proc/${child.pid}/status`, 'utf8');
			return {nowMb: Math.round(Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024)};
		} catch {
			return {nowMb: 0};
		}
	}

	/** Descriptors that the process of a machine has open. */
	async descriptorsOf({child}) {
		return (await readdir(`/proc/${child.pid}/fd`)).length; // eslint-disable-line unicorn/no-await-expression-member
	}

	async putConfiguration(configuration) {
		for (const {host} of this.controls) {
			const answer = await call({ // eslint-disable-line no-await-in-loop
				host, port: ports.control, method: 'PUT', path: '/configuration', headers: {'Content-Type': 'application/json'}, body: JSON.stringify(configuration), timeoutMs: 2000,
			});
			if (answer.status === 200 || answer.status === 400) {
				return answer;
			}
		}

		return {status: 0};
	}

	async waitFor(what, condition, timeoutMs = startTimeoutMs) {
		for (let waitedMs = 0; waitedMs < timeoutMs; waitedMs += pollMs) {
			if (await condition()) { // eslint-disable-line no-await-in-loop
				return;
			}

			await sleep(pollMs); // eslint-disable-line no-await-in-loop
		}

		throw new Error(`waited in vain for ${what}`);
	}

	/** Ends all processes that were started. */
	async close() {
		this.#isClosing = true;
		for (const helper of this.helpers) {
			helper.kill('SIGKILL');
		}

		for (const {child} of [...this.controls, ...this.entries]) {
			if (child !== undefined) {
				const ended = new Promise(resolve => {
					child.once('exit', resolve);
				});
				child.kill('SIGKILL');
				await ended; // eslint-disable-line no-await-in-loop
			}
		}

		await Promise.all(this.engines.map(async engine => engine.stop()));
		rmSync(this.#folder, {recursive: true, force: true});
	}

	#newHost() {
		this.#nextHost += 1;
		return `${this.#subnet}.${this.#nextHost}`;
	}

	#createMachine(role, zone, number) {
		const host = this.#newHost();
		const name = `${role}-${number}`;
		const region = zones[zone];
		this.#seeds ??= [2, 4, 6].map(part => `${this.#subnet}.${part}:${ports.control}`);
		const listen = role === 'entry'
			? {callers: `${host}:${ports.frontend}`, readiness: `${host}:${ports.ready}`, metricsPort: ports.entryMetrics}
			: {operators: `${host}:${ports.control}`, directory: `${host}:${ports.directory}`, metricsPort: ports.controlMetrics};
		return {
			name, role, zone, region, host, port: role === 'entry' ? ports.frontend : ports.control, directoryPort: ports.directory, settings: path.join(this.#folder, `${name}.yaml`), ends: [],
			content: {
				mode: 'routes',
				role,
				node: name,
				zone,
				region,
				zones,
				internal: {ip: host, firstPort: ports.firstInternal, lastPort: ports.lastInternal},
				controlSeeds: this.#seeds,
				cores: defaults.cores[role],
				memoryMb: defaults.memoryMb[role],
				reportEveryMs: defaults.heartbeatMs,
				graceMs: defaults.graceMs,
				toleratedDisks: defaults.toleratedDisks,
				listen,
				...role === 'entry' ? {repeats: defaults.repeats} : {dataFolder: path.join(this.#folder, `data-${name}`)},
			},
		};
	}

	#seeds;
}

process.on('unhandledRejection', error => {
	console.error(error);
	process.exitCode = 2;
});
