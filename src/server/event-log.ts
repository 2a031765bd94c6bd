import {
	destination as openDestination, pino, stdTimeFunctions, type Logger,
} from 'pino';

/** Size of the buffer for a slow reader, in bytes; lines beyond are dropped and counted. */
const maxBufferedBytes = 262_144;
/** Bound for each kind of event. */
const maxLinesPerSecond = 60;
/** Kinds of event that are logged at level `debug`: answered requests. */
const debugEvents = new Set(['answered']);
/** Kinds of event that are logged at level `warn`. */
const warnEvents = new Set(['disk-failed']);
const secondMs = 1000;

type EventLogOptions = {
	readonly node: string;
	readonly level: string;
};

/**
 * Structured log of a process: one JSON line for each decision, on standard output. Each kind of event has a rate limit;
 * dropped lines are counted in a `log-lines-dropped` line. A slow reader causes lines to be dropped but never blocks the process.
 */
export class EventLog {
	readonly #logger: Logger;
	readonly #windows = new Map<string, {startedAt: number; lines: number; dropped: number}>();
	/** Lines lost since the last report because the buffer was full or the output failed. */
	#overflowDrops = 0;

	constructor({node, level}: EventLogOptions) {
		const destination = openDestination({
			dest: 1, sync: false, minLength: 0, maxLength: maxBufferedBytes,
		});
		destination.on('drop', () => {
			this.#overflowDrops += 1;
		});
		// The reader may close the pipe; that must not end the process.
		destination.on('error', () => {
			this.#overflowDrops += 1;
		});
		this.#logger = pino({level, base: {node}, timestamp: stdTimeFunctions.isoTime}, destination);
	}

	/** Logs an event at the level of its kind, `info` for most, within its rate limit. */
	write(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
		const level = levelOf(event);
		if (!this.#logger.isLevelEnabled(level) || !this.#allowLine(event)) {
			return;
		}

		this.#logger[level](fields, event);
	}

	/** Logs an event that needs an operator's attention; it has no rate limit. */
	warn(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#logger.warn(fields, event);
	}

	/** Writes out the buffered lines. */
	async flush(): Promise<void> {
		return new Promise(resolve => {
			this.#logger.flush(() => {
				resolve();
			});
		});
	}

	#allowLine(event: string): boolean {
		const now = Date.now();
		const window = this.#windows.get(event) ?? {startedAt: now, lines: 0, dropped: 0};
		this.#windows.set(event, window);
		if (now - window.startedAt >= secondMs || now < window.startedAt) {
			if (window.dropped > 0 || this.#overflowDrops > 0) {
				this.#logger.info({event, lines: window.dropped, overflowed: this.#overflowDrops}, 'log-lines-dropped');
			}

			window.startedAt = now;
			window.lines = 0;
			window.dropped = 0;
			this.#overflowDrops = 0;
		}

		if (window.lines >= maxLinesPerSecond) {
			window.dropped += 1;
			return false;
		}

		window.lines += 1;
		return true;
	}
}

function levelOf(event: string): 'debug' | 'info' | 'warn' {
	if (debugEvents.has(event)) {
		return 'debug';
	}

	return warnEvents.has(event) ? 'warn' : 'info';
}
