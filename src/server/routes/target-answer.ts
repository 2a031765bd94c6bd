import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import type {EdgeAction} from '../../core/edge/edge-action.ts';
import type {EdgeEvent} from '../../core/edge/edge-event.ts';
import type {CallerExchange} from './caller-exchange.ts';
import {EventSplitter} from './event-splitter.ts';
import type {RequestDialect} from './request-dialect.ts';

type Start = EdgeAction & {type: 'start'};

type TargetAnswerOptions = {
	readonly action: Start;
	readonly exchange: CallerExchange;
	readonly dialect: RequestDialect;
	readonly step: (event: EdgeEvent) => void;
	/** Largest answer that is read whole before it is passed on. */
	readonly maxWholeBytes: number;
};

/** Reads the answer to one attempt and tells the core of it; a stream's events go to the caller as they come. */
export class TargetAnswer {
	readonly #options: TargetAnswerOptions;
	#headers: readonly string[] = [];
	#status = 0;
	#body: Buffer = Buffer.alloc(0);
	#passing = false;
	#stopped = false;

	constructor(options: TargetAnswerOptions) {
		this.#options = options;
	}

	/** Nothing more of the answer may reach the caller. */
	stop(): void {
		this.#stopped = true;
	}

	/** The core decided that this answer is the caller's. */
	pass(): void {
		this.#passing = true;
		this.#options.exchange.begin(this.#status, this.#options.dialect.callerHeaders(this.#headers));
	}

	/** The core decided that the answer is complete. */
	complete(): void {
		const {exchange, dialect} = this.#options;
		if (exchange.streaming) {
			exchange.end();
			return;
		}

		exchange.answer(this.#status, dialect.callerHeaders(this.#headers), this.#body);
	}

	/** Reads an answer to its end. */
	async read(res: Dispatcher.ResponseData): Promise<void> {
		const {action: {attempt}, exchange, dialect, step} = this.#options;
		// A body that nobody reads any more fails without anybody to tell.
		res.body.on('error', () => undefined);
		this.#status = res.statusCode;
		this.#headers = res.headers as unknown as string[];
		const {head, key} = dialect.readAnswer(res.statusCode, this.#headers);
		if (key !== undefined && key !== exchange.head.key) {
			step({type: 'attempt-failed', attempt, failure: {reason: 'foreign-answer', notSent: false}});
			res.body.destroy();
			return;
		}

		step({type: 'attempt-head', attempt, head});
		if (this.#stopped) {
			return;
		}

		await (this.#passing ? this.#readStream(res) : this.#readWhole(res));
		if (!this.#stopped) {
			step({type: 'attempt-end', attempt});
		}
	}

	async #readStream(res: Dispatcher.ResponseData): Promise<void> {
		const {action: {attempt}, exchange, step} = this.#options;
		const splitter = new EventSplitter();
		for await (const chunk of res.body as AsyncIterable<Buffer>) {
			const events = splitter.push(chunk);
			if (this.#stopped) {
				return;
			}

			if (events !== undefined) {
				const written = exchange.write(events.bytes);
				step({
					type: 'attempt-events', attempt, count: events.count, lastId: events.lastId,
				});
				await written;
			}
		}

		if (!this.#stopped && splitter.rest.length > 0) {
			await exchange.write(splitter.rest);
		}
	}

	async #readWhole(res: Dispatcher.ResponseData): Promise<void> {
		const chunks: Buffer[] = [];
		let size = 0;
		for await (const chunk of res.body as AsyncIterable<Buffer>) {
			size += chunk.length;
			if (size > this.#options.maxWholeBytes) {
				throw new RangeError('the answer is larger than the gateway reads whole');
			}

			chunks.push(chunk);
		}

		this.#body = Buffer.concat(chunks);
	}
}
