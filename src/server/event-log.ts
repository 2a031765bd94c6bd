import {
	destination as openDestination, pino, stdTimeFunctions, type Logger,
} from 'pino';

/** Bytes of log lines that wait for a slow reader at most; lines beyond are left out and counted. */
const maxBufferedBytes = 262_144;
/** Lines of one kind of event in a second. */
const maxLinesPerSecond = 60;
/** Kinds of event that are only logged at level `debug`: requests that were served. */
const debugEvents = new Set(['answered']);
const secondMs = 1000;

type EventLogOptions = {
	readonly node: string;
	readonly level: string;
};

/**
 * Structured log of one process: a JSON line for each decision, on standard output. The lines of each kind
 * are bounded by the second, with a count of those left out; a reader that does not read costs lines, not time.
 */
export class EventLog {
	readonly #logger: Logger;
	readonly #windows = new Map<string, {windowAt: number; lines: number; dropped: number}>();
	#overflowed = 0;

	constructor({node, level}: EventLogOptions) {
		const destination = openDestination({
			dest: 1, sync: false, minLength: 0, maxLength: maxBufferedBytes,
		});
		destination.on('drop', () => {
			this.#overflowed += 1;
		});
		// Whoever reads the lines may go away; the process does not end for that.
		destination.on('error', () => {
			this.#overflowed += 1;
		});
		this.#logger = pino({level, base: {node}, timestamp: stdTimeFunctions.isoTime}, destination);
	}

	/** Logs an event; requests that were served only at level `debug`. */
	write(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
		const level = debugEvents.has(event) ? 'debug' : 'info';
		if (!this.#logger.isLevelEnabled(level) || !this.#admit(event)) {
			return;
		}

		this.#logger[level](fields, event);
	}

	/** Logs something that needs an operator's eye. */
	warn(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#logger.warn(fields, event);
	}

	/** Writes out what waits. */
	async flush(): Promise<void> {
		return new Promise(resolve => {
			this.#logger.flush(() => {
				resolve();
			});
		});
	}

	#admit(event: string): boolean {
		const now = Date.now();
		const window = this.#windows.get(event) ?? {windowAt: now, lines: 0, dropped: 0};
		this.#windows.set(event, window);
		if (now - window.windowAt >= secondMs || now < window.windowAt) {
			if (window.dropped > 0 || this.#overflowed > 0) {
				this.#logger.info({event, lines: window.dropped, overflowed: this.#overflowed}, 'log-lines-dropped');
			}

			window.windowAt = now;
			window.lines = 0;
			window.dropped = 0;
			this.#overflowed = 0;
		}

		if (window.lines >= maxLinesPerSecond) {
			window.dropped += 1;
			return false;
		}

		window.lines += 1;
		return true;
	}
}
