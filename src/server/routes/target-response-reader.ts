import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import type {EdgeAction} from '../../core/edge/edge-action.ts';
import type {EdgeEvent} from '../../core/edge/edge-event.ts';
import {isSuccess} from '../../core/edge/is-success.ts';
import {constants} from '../../settings/constants.ts';
import type {AnswerBody} from '../answer-body.ts';
import {AnswerLimitError} from '../answer-limit-error.ts';
import {MemoryHold} from '../memory-hold.ts';
import type {PooledResponse} from '../pooled-response.ts';
import type {ProcessMemory} from '../process-memory.ts';
import {checkFinalStatus} from '../check-final-status.ts';
import {describeAnswerBody} from '../describe-answer-body.ts';
import {isTruncated} from '../is-truncated.ts';
import type {SoftwareVersion} from '../../core/ids/software-version.ts';
import {SseSplitter} from '../sse-splitter.ts';
import type {CallerExchange} from './caller-exchange.ts';
import {relayHeader} from './relay-header.ts';
import type {RequestCodec} from './request-codec.ts';

type StartAction = EdgeAction & {type: 'start'};

type TargetResponseReaderOptions = {
	readonly action: StartAction;
	readonly exchange: CallerExchange;
	readonly codec: RequestCodec;
	readonly memory: ProcessMemory;
	readonly step: (event: EdgeEvent) => void;
	/** Largest answer that is buffered before it is sent to the caller, in bytes. */
	readonly maxBufferedBytes: number;
};

/** Reads the answer to one attempt and reports it to the core. A stream is written to the caller event by event as it arrives. */
export class TargetResponseReader {
	readonly #options: TargetResponseReaderOptions;
	#headers: readonly string[] = [];
	#status = 0;
	/** True if the target says that it leaves. */
	#leaving = false;
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
	startStreaming(softwareVersion: SoftwareVersion | undefined): void {
		const {exchange} = this.#options;
		this.#streaming = true;
		const headers = this.#callerHeaders();
		if (exchange.edgeRequest.forwarded !== undefined && softwareVersion !== undefined) {
			headers.push(relayHeader.softwareVersionName, encodeURIComponent(softwareVersion));
		}

		exchange.startStream(this.#status, headers);
	}

	/** Ends the caller's stream, or sends the buffered answer. */
	complete(): void {
		const {exchange} = this.#options;
		if (exchange.streaming) {
			exchange.endStream();
			return;
		}

		exchange.sendAnswer(this.#status, this.#callerHeaders(), this.#body);
	}

	/** Reads an answer to its end. */
	async read({res, use, retire, destroy}: PooledResponse): Promise<void> {
		const {action: {attempt, stream, targetId}, exchange, codec, step} = this.#options;
		// An aborted body emits an error, which would be uncaught once nothing reads it.
		res.body.on('error', () => undefined);
		try {
			checkFinalStatus(res.statusCode);
		} catch (error) {
			destroy();
			throw error;
		}

		this.#status = res.statusCode;
		this.#headers = res.headers as unknown as string[];
		const {head, key} = codec.readAnswer(res.statusCode, this.#headers, targetId === undefined ? 'entry' : 'target');
		this.#leaving = head.leaving ?? false;
		if (key === undefined && (head.notRun || !isSuccess(res.statusCode))) {
			retire();
		}

		// Entries of earlier builds name no request in their refusals; a target that names none may have written an earlier answer once more.
		const isNameless = key === undefined && (targetId === undefined || exchange.head.key === '');
		if (!isNameless && key !== exchange.head.key) {
			destroy();
			step({type: 'attempt-failed', attempt, failure: {reason: 'foreign-answer', notSent: false}});
			return;
		}

		const header = (name: string) => findHeader(this.#headers, name);
		const description = describeAnswerBody({method: exchange.head.method, status: res.statusCode, header});
		const {format, unframed} = description;
		// A target need not name the type of a stream.
		const eventStream = format === 'events' || (stream && header('content-type') === undefined);
		step({
			type: 'attempt-head', attempt, head: {
				...head, unframed, eventStream, use,
			},
		});
		if (this.#stopped) {
			return;
		}

		if (!this.#streaming && isSuccess(res.statusCode)) {
			exchange.reportWorking();
		}

		const hold = new MemoryHold(this.#options.memory.answers, () => {
			res.body.destroy(new AnswerLimitError('what is read of all answers', constants.maxHeldAnswerBytes));
		});
		try {
			const truncated = await (this.#streaming ? this.#readStream(res, description, hold) : this.#readBuffered(res, description, hold));
			if (!this.#stopped) {
				step({type: 'attempt-end', attempt, truncated});
			}
		} finally {
			hold.close();
		}
	}

	/** Headers of the answer for the caller; an entry that forwarded the request is told which target leaves. */
	#callerHeaders(): string[] {
		const {action: {targetId, targetBorn}, exchange, codec} = this.#options;
		const headers = codec.callerHeaders(this.#headers);
		if (this.#leaving && exchange.edgeRequest.forwarded !== undefined && targetId !== undefined && targetBorn !== undefined) {
			headers.push(relayHeader.leavingTargetName, relayHeader.writeLeavingTarget({targetId, born: targetBorn}));
		}

		return headers;
	}

	/** Passes the complete events of a stream on; returns true if it was broken off. */
	async #readStream(res: Dispatcher.ResponseData, {mayBeEmpty}: AnswerBody, hold: MemoryHold): Promise<boolean> {
		const {action: {attempt}, exchange, step} = this.#options;
		const splitter = new SseSplitter();
		let isEmpty = true;
		for await (const chunk of res.body as AsyncIterable<Buffer>) {
			isEmpty = false;
			const events = splitter.push(chunk);
			hold.set(splitter.rest.length);
			if (splitter.rest.length > constants.maxEventBytes) {
				throw new AnswerLimitError('an event', constants.maxEventBytes);
			}

			if (this.#stopped) {
				return false;
			}

			if ((events?.lastId?.length ?? 0) > constants.maxEventIdCharacters) {
				throw new AnswerLimitError('the id of an event', constants.maxEventIdCharacters);
			}

			if (events !== undefined) {
				const drained = exchange.write(events.bytes);
				step({
					type: 'attempt-events', attempt, count: events.count, lastId: events.lastId,
				});
				if (drained !== undefined) {
					step({type: 'attempt-held', attempt, held: true});
					await drained;
					step({type: 'attempt-held', attempt, held: false});
				}
			}
		}

		const {incompleteBytes, rest} = splitter;
		if (!this.#stopped && incompleteBytes === 0 && rest.length > 0) {
			await exchange.write(rest);
		}

		return incompleteBytes > 0 || (isEmpty && !mayBeEmpty);
	}

	/** Holds an answer back until it is whole; returns true if it was broken off. */
	async #readBuffered(res: Dispatcher.ResponseData, description: AnswerBody, hold: MemoryHold): Promise<boolean> {
		const chunks: Buffer[] = [];
		let size = 0;
		for await (const chunk of res.body as AsyncIterable<Buffer>) {
			size += chunk.length;
			if (size > this.#options.maxBufferedBytes) {
				throw new AnswerLimitError('a buffered answer', this.#options.maxBufferedBytes);
			}

			chunks.push(chunk);
			hold.set(size);
		}

		this.#body = Buffer.concat(chunks);
		return isTruncated(this.#body, description);
	}
}

/** First value of a header among alternating names and values, which the HTTP client provides as bytes. */
function findHeader(headers: readonly unknown[], name: string): string | undefined {
	const index = headers.findIndex((text, position) => position % 2 === 0 && String(text).toLowerCase() === name);
	return index === -1 ? undefined : String(headers[index + 1]);
}
