import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import type {EdgeAction} from '../../core/edge/edge-action.ts';
import type {EdgeEvent} from '../../core/edge/edge-event.ts';
import {isUnframed} from '../is-unframed.ts';
import type {CallerExchange} from './caller-exchange.ts';
import {SseSplitter} from './sse-splitter.ts';
import type {RequestCodec} from './request-codec.ts';

type StartAction = EdgeAction & {type: 'start'};

type TargetResponseReaderOptions = {
	readonly action: StartAction;
	readonly exchange: CallerExchange;
	readonly codec: RequestCodec;
	readonly step: (event: EdgeEvent) => void;
	/** Largest answer that is buffered before it is sent to the caller, in bytes. */
	readonly maxBufferedBytes: number;
};

/** Reads the answer to one attempt and reports it to the core. A stream is written to the caller event by event as it arrives. */
export class TargetResponseReader {
	readonly #options: TargetResponseReaderOptions;
	#headers: readonly string[] = [];
	#status = 0;
	#body: Buffer = Buffer.alloc(0);
	#streaming = false;
	#stopped = false;

	constructor(options: TargetResponseReaderOptions) {
		this.#options = options;
	}

	/** Stops reading; nothing more of the answer is written to the caller. */
	stop(): void {
		this.#stopped = true;
	}

	/** Streams the answer to the caller from now on, starting with its head. */
	startStreaming(): void {
		this.#streaming = true;
		this.#options.exchange.startStream(this.#status, this.#options.codec.callerHeaders(this.#headers));
	}

	/** Ends the caller's stream, or sends the buffered answer. */
	complete(): void {
		const {exchange, codec} = this.#options;
		if (exchange.streaming) {
			exchange.endStream();
			return;
		}

		exchange.sendAnswer(this.#status, codec.callerHeaders(this.#headers), this.#body);
	}

	/** Reads an answer to its end. */
	async read(res: Dispatcher.ResponseData): Promise<void> {
		const {action: {attempt}, exchange, codec, step} = this.#options;
		// An aborted body emits an error, which would be uncaught once nothing reads it.
		res.body.on('error', () => undefined);
		this.#status = res.statusCode;
		this.#headers = res.headers as unknown as string[];
		const {head, key} = codec.readAnswer(res.statusCode, this.#headers);
		if (key !== undefined && key !== exchange.head.key) {
			step({type: 'attempt-failed', attempt, failure: {reason: 'foreign-answer', notSent: false}});
			res.body.destroy();
			return;
		}

		step({type: 'attempt-head', attempt, head: {...head, unframed: this.#isUnframed()}});
		if (this.#stopped) {
			return;
		}

		const incompleteBytes = await (this.#streaming ? this.#readStream(res) : this.#readBuffered(res));
		if (!this.#stopped) {
			step({type: 'attempt-end', attempt, incompleteBytes});
		}
	}

	#isUnframed(): boolean {
		const headerNames = this.#headers.filter((_, index) => index % 2 === 0).map(String);
		return isUnframed({method: this.#options.exchange.head.method, status: this.#status, headerNames});
	}

	/** Passes a stream on; returns the size of a last event that has no end. */
	async #readStream(res: Dispatcher.ResponseData): Promise<number> {
		const {action: {attempt}, exchange, step} = this.#options;
		const splitter = new SseSplitter();
		for await (const chunk of res.body as AsyncIterable<Buffer>) {
			const events = splitter.push(chunk);
			if (this.#stopped) {
				return 0;
			}

			if (events !== undefined) {
				const written = exchange.write(events.bytes);
				step({
					type: 'attempt-events', attempt, count: events.count, lastId: events.lastId,
				});
				await written;
			}
		}

		if (!this.#stopped && splitter.incomplete.length > 0) {
			await exchange.write(splitter.incomplete);
		}

		return splitter.incomplete.length;
	}

	async #readBuffered(res: Dispatcher.ResponseData): Promise<number> {
		const chunks: Buffer[] = [];
		let size = 0;
		for await (const chunk of res.body as AsyncIterable<Buffer>) {
			size += chunk.length;
			if (size > this.#options.maxBufferedBytes) {
				throw new RangeError('the answer exceeds the size limit of buffered answers');
			}

			chunks.push(chunk);
		}

		this.#body = Buffer.concat(chunks);
		return 0;
	}
}
