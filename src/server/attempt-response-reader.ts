import {Buffer} from 'node:buffer';
import {StringDecoder} from 'node:string_decoder';
import type {Dispatcher} from 'undici';
import type {Action} from '../core/actions.ts';
import {isPromise} from '../core/edge/is-promise.ts';
import type {CoreEvent} from '../core/events.ts';
import type {StoredAnswer} from '../core/ledger/stored-answer.ts';
import type {Refusal} from '../core/results/refusal.ts';
import {constants} from '../settings/constants.ts';
import {AnswerLimitError} from './answer-limit-error.ts';
import {attemptHeader} from './attempt-header.ts';
import type {CallerRequest} from './caller-request.ts';
import type {PooledResponse} from './pooled-response.ts';
import type {ProblemDocument} from './problem-document.ts';
import {problemTypePrefix} from './problem-type-prefix.ts';
import {MemoryHold} from './memory-hold.ts';
import type {ProcessMemory} from './process-memory.ts';
import {ranHeader} from './ran-header.ts';
import {checkFinalStatus} from './check-final-status.ts';
import {describeAnswerBody} from './describe-answer-body.ts';
import {isTruncated} from './is-truncated.ts';
import {readRetryAfterMs} from './read-retry-after-ms.ts';
import {readTargetNotice} from './read-target-notice.ts';
import {SseParser} from './sse-parser.ts';
import {TargetError} from './target-error.ts';

type StartAttempt = Extract<Action, {type: 'start-attempt'}>;
type ResponseHead = {readonly status: number; readonly contentType: string};

type ReaderOptions = {
	readonly action: StartAttempt;
	readonly request: CallerRequest;
	readonly step: (event: CoreEvent) => void;
	readonly memory: ProcessMemory;
};

/** Status codes that count as a failed attempt. */
const failureStatuses = new Set([500, 502, 503, 504, 429]);
/** Failure status codes that may be the answer of a plain service itself; they are relayed to the caller. */
const relayedServiceStatuses = new Set([500, 429]);
const lowestErrorStatus = 400;
/** Minimum interval between `attempt-progress` events. */
const progressIntervalMs = 100;
/** Copies of the text of a stream that a process holds: the text, and the answer that is assembled of it. */
const collectedCopies = 2;

/**
 * Reads the response of one attempt: counts tokens, detects the end, and streams it to the caller or holds it until it is complete.
 * Keeps a copy of up to `keepBytes` bytes for the ledger.
 */
export class AttemptResponseReader {
	tokens = 0;
	/** True once the attempt delivered a part of the answer, to the caller or to the assembler of an unstreamed completion. */
	passedOn = false;
	/** True once the complete answer was read. */
	ended = false;
	readonly #action: StartAttempt;
	readonly #request: CallerRequest;
	readonly #step: (event: CoreEvent) => void;
	#bytes = 0;
	#progressReportedAt = Number.NEGATIVE_INFINITY;
	/** Copy of the answer for the ledger; emptied once it exceeds `keepBytes`. */
	#storedChunks: Buffer[] = [];
	#storedBytes = 0;

	readonly #hold: MemoryHold;
	#body: Dispatcher.ResponseData['body'] | undefined;

	constructor({action, request, step, memory}: ReaderOptions) {
		this.#action = action;
		this.#request = request;
		this.#step = step;
		this.#hold = new MemoryHold(memory.answers, () => {
			this.#body?.destroy(new AnswerLimitError('what is read of all answers', constants.maxHeldAnswerBytes));
		});
	}

	/** Ends the count of what is held of the answer. */
	close(): void {
		this.#hold.close();
	}

	/** @throws TargetError if the response is an error or a refusal, or if it is truncated. */
	async read({res, retire, destroy}: PooledResponse): Promise<void> {
		this.#body = res.body;
		try {
			checkFinalStatus(res.statusCode);
		} catch (error) {
			res.body.on('error', () => undefined);
			destroy();
			throw error;
		}

		const head = {status: res.statusCode, contentType: header(res, 'content-type') ?? 'application/octet-stream'};
		const notice = this.#action.forwardTo === undefined ? readTargetNotice(res.statusCode, res.headers) : undefined;
		if (notice !== undefined) {
			this.#step({type: 'target-notice', attemptId: this.#action.attemptId, notice});
		}

		const answeredAttempt = header(res, attemptHeader);
		// Written once more, it would say the same of any other attempt.
		if (answeredAttempt === undefined && (isPromise(res.statusCode) || (this.#action.forwardTo !== undefined && res.statusCode >= lowestErrorStatus))) {
			retire();
		}

		if (answeredAttempt !== undefined && answeredAttempt !== this.#action.attemptId) {
			res.body.on('error', () => undefined);
			destroy();
			throw new TargetError('error-status');
		}

		await this.#throwOnFailure(res, head);
		this.#step({type: 'attempt-first-byte', attemptId: this.#action.attemptId});
		const streamed = this.#request.info.kind === 'completion' && isEventStream(head);
		await (streamed ? this.#readStream(res, head) : this.#readBuffered(res, head));
	}

	async #throwOnFailure(res: Dispatcher.ResponseData, head: ResponseHead): Promise<void> {
		const isNamed = header(res, attemptHeader) === this.#action.attemptId;
		const ran = header(res, ranHeader);
		// Without `ran` it is the document of a service, unless the entry is of an earlier build, which names no attempt.
		if (this.#action.forwardTo && head.contentType.startsWith('application/problem+json') && (ran !== undefined || !isNamed)) {
			const problem = await readProblem(res);
			const refusal = peerRefusal(problem, (isNamed ? ran : ranAtEarlierBuild(problem)) === 'no' ? 'no' : 'maybe');
			throw new TargetError('refused', {
				refusal, status: head.status, notRun: refusal.ran === 'no', retryAfterMs: refusal.retryAfterMs,
			});
		}

		if (this.#action.resume && !(head.status === 200 && isEventStream(head))) {
			// Its body is not the rest of the stream, and its end must not end the stream as complete.
			await res.body.dump();
			throw new TargetError('error-status', {status: head.status});
		}

		const isServiceAnswer = this.#request.info.kind === 'call' && relayedServiceStatuses.has(head.status) && ran !== 'no';
		// An entry names the attempt in each answer: what stands in front of it knows nothing of the request.
		const isForeignPromise = this.#action.forwardTo !== undefined && !isNamed && isPromise(head.status);
		if (!isForeignPromise && (!failureStatuses.has(head.status) || isServiceAnswer)) {
			return;
		}

		await res.body.dump();
		// A refusal that does not name the attempt may be an earlier one that was written once more.
		const notRun = ran === 'no' && isNamed;
		throw new TargetError(notRun ? 'refused' : 'error-status', {
			status: head.status,
			notRun,
			retryAfterMs: readRetryAfterMs(header(res, 'retry-after')),
		});
	}

	async #readStream(res: Dispatcher.ResponseData, head: ResponseHead): Promise<void> {
		const parser = new SseParser();
		const decoder = new StringDecoder('utf8');
		let trailingBytes = 0;
		for await (const chunk of res.body as AsyncIterable<Buffer>) {
			if (this.ended) {
				// Consume the rest of the response, so that the connection can be reused.
				trailingBytes += chunk.length;
				if (trailingBytes > constants.maxTrailingBytes) {
					throw new AnswerLimitError('what follows a stream', constants.maxTrailingBytes);
				}

				continue;
			}

			this.#bytes += chunk.length;
			// Each chunk is written before the next one is read, which keeps the order and applies backpressure.
			await this.#handleEvents(parser.push(decoder.write(chunk)), head);
			if (parser.incompleteLength > constants.maxEventBytes) {
				throw new AnswerLimitError('an event', constants.maxEventBytes);
			}

			if (this.#bytes > constants.maxCollectedStreamBytes) {
				throw new AnswerLimitError('a stream', constants.maxCollectedStreamBytes);
			}

			this.#countHeld(parser.incompleteLength + (this.#request.answerText.length * collectedCopies));
		}

		if (!this.ended) {
			throw new TargetError('truncated');
		}
	}

	async #handleEvents(events: ReturnType<SseParser['push']>, head: ResponseHead): Promise<void> {
		let raw = '';
		let ended = false;
		for (const {raw: text, event} of events) {
			if (event.type === 'end') {
				// Not written here: the caller gets the end marker once the core completes the request.
				if (this.#request.info.streamed) {
					this.#storeChunk(Buffer.from(text));
				}

				ended = true;
				break;
			}

			if (event.type === 'error') {
				await this.#writeText(raw, head); // eslint-disable-line no-await-in-loop
				throw new TargetError('truncated', {refusal: this.#action.forwardTo && peerRefusal(event.error as ProblemDocument, 'maybe')});
			}

			// The first event may make this attempt the one that writes, which has to be so before the event is recorded.
			if (!this.passedOn) {
				this.passedOn = true;
				this.#reportProgress();
			}

			raw += text;
			this.#recordEvent(event);
		}

		await this.#writeText(raw, head);
		if (ended) {
			this.#finishStream(head);
		}
	}

	/** Handles the end marker; a caller that did not ask for a stream gets the assembled completion. */
	#finishStream(head: ResponseHead): void {
		if (this.#request.info.streamed) {
			this.#reportEnd(head);
			return;
		}

		const jsonHead = {status: head.status, contentType: 'application/json'};
		const body = Buffer.from(this.#request.assembler.toJson());
		this.#storeChunk(body);
		this.#request.holdResponse(this.#action.attemptId, jsonHead, body);
		this.#reportEnd(jsonHead);
	}

	#reportEnd(head: ResponseHead): void {
		this.ended = true;
		this.#step({
			type: 'attempt-end',
			attemptId: this.#action.attemptId,
			tokens: this.tokens,
			bytes: this.#bytes,
			answer: this.#storedAnswer(head),
		});
	}

	async #writeText(raw: string, head: ResponseHead): Promise<void> {
		if (raw === '') {
			return;
		}

		this.passedOn = true;
		this.#reportProgress();
		if (!this.#request.info.streamed) {
			return;
		}

		this.#storeChunk(Buffer.from(raw));
		await this.#request.write(this.#action.attemptId, head, raw);
	}

	async #readBuffered(res: Dispatcher.ResponseData, head: ResponseHead): Promise<void> {
		const pending: Buffer[] = [];
		for await (const chunk of res.body as AsyncIterable<Buffer>) {
			this.#bytes += chunk.length;
			this.#storeChunk(chunk);
			pending.push(chunk);
			if (this.#bytes > constants.maxAnswerBytes) {
				throw new AnswerLimitError('an answer', constants.maxAnswerBytes);
			}

			this.#countHeld(Math.min(this.#bytes, constants.maxBufferedAnswerBytes));
			if (this.#bytes > constants.maxBufferedAnswerBytes) {
				await this.#writeChunks(pending.splice(0), head);
			}
		}

		if (!this.passedOn) {
			const description = describeAnswerBody({method: this.#request.method, status: head.status, header: name => header(res, name)});
			if (isTruncated(Buffer.concat(pending), description)) {
				throw new TargetError('truncated');
			}

			this.#request.holdResponse(this.#action.attemptId, head, Buffer.concat(pending));
		}

		this.#reportEnd(head);
	}

	async #writeChunks(chunks: readonly Buffer[], head: ResponseHead): Promise<void> {
		this.passedOn = true;
		for (const chunk of chunks) {
			await this.#request.write(this.#action.attemptId, head, chunk); // eslint-disable-line no-await-in-loop
		}

		this.#reportProgress();
	}

	#recordEvent(event: ReturnType<SseParser['push']>[number]['event']): void {
		if (event.type === 'token') {
			this.tokens += 1;
		}

		if (!this.#request.isOwnedBy(this.#action.attemptId)) {
			return;
		}

		if (event.type === 'token') {
			this.#request.answerTokens += 1;
			this.#request.answerText += event.text;
		}

		if (!this.#request.info.streamed && 'data' in event && event.data !== undefined) {
			this.#request.assembler.add(event.data);
		}
	}

	#reportProgress(): void {
		const now = performance.now();
		if (now - this.#progressReportedAt < progressIntervalMs) {
			return;
		}

		this.#progressReportedAt = now;
		this.#step({
			type: 'attempt-progress', attemptId: this.#action.attemptId, tokens: this.tokens, bytes: this.#bytes,
		});
	}

	#storeChunk(chunk: Buffer): void {
		this.#storedBytes += chunk.length;
		if (this.#storedBytes <= this.#action.keepBytes) {
			this.#storedChunks.push(chunk);
			return;
		}

		this.#storedChunks = [];
	}

	/** Counts what is held of the answer, with the copy for the ledger. */
	#countHeld(bytes: number): void {
		this.#hold.set(bytes + (this.#storedChunks.length > 0 ? this.#storedBytes : 0));
	}

	#storedAnswer(head: ResponseHead): StoredAnswer | undefined {
		return this.#action.keepBytes > 0 && this.#storedBytes <= this.#action.keepBytes
			? {...head, body: Buffer.concat(this.#storedChunks).toString('base64')}
			: undefined;
	}
}

/** Reads a refusal of another entry. */
async function readProblem({body}: Dispatcher.ResponseData): Promise<ProblemDocument> {
	const chunks: Buffer[] = [];
	let size = 0;
	for await (const chunk of body as AsyncIterable<Buffer>) {
		size += chunk.length;
		if (size > constants.maxTrailingBytes) {
			throw new AnswerLimitError('a refusal', constants.maxTrailingBytes);
		}

		chunks.push(chunk);
	}

	return JSON.parse(Buffer.concat(chunks).toString('utf8')) as ProblemDocument;
}

function isEventStream({contentType}: ResponseHead): boolean {
	return contentType.startsWith('text/event-stream');
}

function header(res: Dispatcher.ResponseData, name: string): string | undefined {
	const value = res.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/** Whether a request ran by a document that names no attempt: an entry of an earlier build is believed, a service behind it isn't. */
function ranAtEarlierBuild({type, ran}: ProblemDocument): Refusal['ran'] {
	return typeof type === 'string' && type.startsWith(problemTypePrefix) ? ran : 'maybe';
}

function peerRefusal({result, retryAfterMs, detail}: ProblemDocument, ran: Refusal['ran']): Refusal {
	return {
		result, ran, retryAfterMs, detail,
	};
}
