import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {processorTime} from './processor-time.ts';

type MachineTimes = {
	/** Of the main threads of all runs, undefined if unknown. */
	readonly ranMs: number | undefined;
	readonly waitedMs: number | undefined;
	/** Longest delay of an event loop; one that was frozen counts too. */
	readonly lateMs: number | undefined;
};

const probe = path.join(import.meta.dirname, 'loop-probe.js');
const sampleEveryMs = 500;

const running = new Set<ChildProcess>();
process.on('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

/** One child process of an installation; signalled only by its own process id, and killed when this process exits. */
export class ManagedProcess {
	readonly #args: readonly string[];
	readonly #logFile: string;
	readonly #program: string;
	#child: ChildProcess | undefined;
	#exitCode: number | undefined;
	/** Processor times of each run, by process id. */
	readonly #times = new Map<number, ReturnType<typeof processorTime>>();

	/** @param program - executable that gets the arguments; the running Node by default. */
	constructor(args: readonly string[], logFile: string, program = process.execPath) {
		this.#args = args;
		this.#logFile = logFile;
		this.#program = program;
	}

	get up(): boolean {
		return this.#child !== undefined;
	}

	/** Undefined while the process does not run. */
	get pid(): number | undefined {
		return this.#child?.pid;
	}

	/** Exit code of the last run; undefined while the process runs or after a signal ended it. */
	get exitCode(): number | undefined {
		return this.#exitCode;
	}

	start(): void {
		const log = openSync(this.#logFile, 'a');
		this.#exitCode = undefined;
		const env = {
			...process.env, DEBUG: process.env.DEBUG ?? 'lovageferry:*', NODE_ENV: 'production', LOOP_PROBE_FILE: this.#probeFile,
		};
		const args = this.#program === process.execPath ? [`--import=${probe}`, ...this.#args] : this.#args;
		const child = spawn(this.#program, args, {stdio: ['ignore', log, log], env});
		closeSync(log);
		running.add(child);
		this.#child = child;
		const sample = setInterval(() => {
			this.#sample(child);
		}, sampleEveryMs).unref();
		child.once('exit', code => {
			clearInterval(sample);
			running.delete(child);
			if (this.#child === child) {
				this.#child = undefined;
				this.#exitCode = code ?? undefined;
			}
		});
	}

	/** Times of all runs so far, a sample's interval old for those that have ended. */
	machineTimes(): MachineTimes {
		if (this.#child) {
			this.#sample(this.#child);
		}

		const times = [...this.#times.values()].filter(time => time !== undefined);
		const late = [...this.#times.keys()].map(pid => this.#lateMs(pid)).filter(ms => ms !== undefined);
		return {
			ranMs: times.length > 0 ? times.reduce((sum, {ranMs}) => sum + ranMs, 0) : undefined,
			waitedMs: times.length > 0 ? times.reduce((sum, {waitedMs}) => sum + waitedMs, 0) : undefined,
			lateMs: late.length > 0 ? Math.max(...late) : undefined,
		};
	}

	signal(name: NodeJS.Signals): void {
		this.#child?.kill(name);
	}

	/** Sends a signal and waits for the process to exit. */
	async end(name: NodeJS.Signals): Promise<void> {
		const child = this.#child;
		if (!child) {
			return;
		}

		const exit = once(child, 'exit');
		child.kill(name);
		await exit;
	}

	get #probeFile(): string {
		return `${this.#logFile}.late`;
	}

	#sample({pid}: ChildProcess): void {
		const time = pid === undefined ? undefined : processorTime(pid);
		if (pid !== undefined) {
			this.#times.set(pid, time ?? this.#times.get(pid));
		}
	}

	#lateMs(pid: number): number | undefined {
		try {
			return Number(readFileSync(`${this.#probeFile}.${pid}`, 'utf8'));
		} catch {
			return undefined;
		}
	}
}
