import process from 'node:process';

type SignalHandlers = {
	/** Ends the work of the process in order; the process exits after it. */
	readonly stop: () => Promise<void>;
	readonly reload: () => void;
};

/** Handles the signals of a process from its construction on. Those that come while the process starts take effect once it has started: without a handler they would end it at once. */
export class ProcessSignals {
	readonly #stopWanted = new AbortController();
	#handlers: SignalHandlers | undefined;
	#reloadWanted = false;
	#stopping = false;

	constructor() {
		for (const signal of ['SIGTERM', 'SIGINT']) {
			process.on(signal, () => {
				this.#stopWanted.abort();
				this.#handle();
			});
		}

		process.on('SIGHUP', () => {
			this.#reloadWanted = true;
			this.#handle();
		});
	}

	/** Aborted once the process is asked to stop. */
	get stopWanted(): AbortSignal {
		return this.#stopWanted.signal;
	}

	/** Called once the process has started. */
	attach(handlers: SignalHandlers): void {
		this.#handlers = handlers;
		this.#handle();
	}

	#handle(): void {
		if (this.#handlers === undefined || this.#stopping) {
			return;
		}

		if (this.#stopWanted.signal.aborted) {
			this.#stopping = true;
			void this.#stop(this.#handlers);
		} else if (this.#reloadWanted) {
			this.#reloadWanted = false;
			this.#handlers.reload();
		}
	}

	async #stop({stop}: SignalHandlers): Promise<void> {
		await stop();
		process.exit(0); // eslint-disable-line unicorn/no-process-exit
	}
}
