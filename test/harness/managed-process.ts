import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync} from 'node:fs';
import process from 'node:process';

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

	/** @param program - executable that gets the arguments; the running Node by default. */
	constructor(args: readonly string[], logFile: string, program = process.execPath) {
		this.#args = args;
		this.#logFile = logFile;
		this.#program = program;
	}

	get up(): boolean {
		return this.#child !== undefined;
	}

	/** Exit code of the last run; undefined while the process runs or after a signal ended it. */
	get exitCode(): number | undefined {
		return this.#exitCode;
	}

	start(): void {
		const log = openSync(this.#logFile, 'a');
		this.#exitCode = undefined;
		const env = {...process.env, DEBUG: process.env.DEBUG ?? 'lovageferry:*', NODE_ENV: 'production'};
		const child = spawn(this.#program, this.#args, {stdio: ['ignore', log, log], env});
		closeSync(log);
		running.add(child);
		this.#child = child;
		child.once('exit', code => {
			running.delete(child);
			if (this.#child === child) {
				this.#child = undefined;
				this.#exitCode = code ?? undefined;
			}
		});
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
}
