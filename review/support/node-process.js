import process from 'node:process';
import {spawn} from 'node:child_process';
import {
	createWriteStream, mkdirSync, rmSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';

/** Delay before the platform restarts a process that has ended, in milliseconds. */
const restartDelayMs = 300;

/** One process of the system, started with the command of the deploy file and restarted by the stand-in of the platform when it ends. */
export class NodeProcess {
	/** Ends of the process that the test did not ask for: `at` (Unix time in milliseconds), `code` and `signal`. */
	ownEnds = [];
	/** Called after each start of the process. */
	onStarted;
	#options;
	#child;
	#stopping = false;
	#starts = 0;

	/** @param {{name: string, role: string, ip: string, folder: string, root: string, settings: object, record: (text: string) => void}} options */
	constructor(options) {
		this.#options = options;
		mkdirSync(this.folder, {recursive: true});
	}

	get name() {
		return this.#options.name;
	}

	get role() {
		return this.#options.role;
	}

	get ip() {
		return this.#options.ip;
	}

	get folder() {
		return path.join(this.#options.folder, this.name);
	}

	get pid() {
		return this.#child?.pid;
	}

	get running() {
		return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
	}

	start({firstStart = false} = {}) {
		const {root, settings, name, record} = this.#options;
		const file = path.join(this.folder, 'settings.yaml');
		// JSON is YAML too.
		writeFileSync(file, JSON.stringify({...settings, firstStart}, undefined, '\t'));
		this.#stopping = false;
		this.#starts += 1;
		const child = spawn(process.execPath, ['--max-old-space-size=192', 'target/lovageferry.cjs', 'run', file], {
			cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG},
		});
		const log = createWriteStream(path.join(this.folder, 'log.txt'), {flags: 'a'});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		this.#child = child;
		child.once('exit', (code, signal) => {
			log.end();
			if (this.#stopping) {
				record(`process ${name} ended: code ${code}, signal ${signal}`);
				return;
			}

			record(`process ${name} ended by itself: code ${code}, signal ${signal}`);
			this.ownEnds.push({at: Date.now(), code, signal});
			setTimeout(() => {
				if (!this.#stopping) {
					this.start();
				}
			}, restartDelayMs);
		});
		this.onStarted?.(this.#starts);
	}

	/** Empties the process's disk, as after the loss of it; only while the process does not run. */
	loseDisk() {
		rmSync(path.join(this.folder, 'data'), {recursive: true, force: true});
	}

	signal(name) {
		if (this.running) {
			this.#child.kill(name);
		}
	}

	/** Sends a signal that ends the process and waits for its end; it is not restarted. */
	async stop(signal = 'SIGTERM') {
		this.#stopping = true;
		if (!this.running) {
			return;
		}

		const ended = new Promise(resolve => {
			this.#child.once('exit', resolve);
		});
		this.#child.kill(signal);
		await ended;
	}
}
