import {Buffer} from 'node:buffer';
import {StringDecoder} from 'node:string_decoder';
import type {Dispatcher} from 'undici';
import type {Action} from '../core/actions.ts';
import type {CoreEvent} from '../core/events.ts';
import type {StoredAnswer} from '../core/ledger/stored-answer.ts';
import type {Refusal} from '../core/results/refusal.ts';
import {constants} from '../settings/constants.ts';
import type {CallerRequest} from './caller-request.ts';
import type {Problem} from './problem-document.ts';
import {SseReader} from './sse-reader.ts';
import {TargetError} from './target-error.ts';

type StartAttempt = Extract<Action, {type: 'start-attempt'}>;
type AnswerHead = {readonly status: number; readonly contentType: string};

/** Statuses of a target that mean that the request got no answer from it. */
const failedStatuses = new Set([500, 502, 503, 504, 429]);
/** Statuses that a plain service may give as its own answer. */
const serviceStatuses = new Set([500, 429]);
const progressIntervalMs = 100;

/** Reads the answer of one attempt: counts tokens, finds its end, and hands it to the caller or keeps it whole. */
export class AttemptAnswer {
	tokens = 0;
	passedOn = false;
	/** True once the whole answer was seen. */
	ended = false;
	readonly #action: StartAttempt;
	readonly #request: CallerRequest;
	readonly #step: (event: CoreEvent) => void;
	#bytes = 0;
	#progressAt = 0;
	#kept: Buffer[] = [];
	#keptBytes = 0;

	constructor(action: StartAttempt, request: CallerRequest, step: (event: CoreEvent) => void) {
		this.#action = action;
		this.#request = request;
		this.#step = step;
	}

	/** @throws TargetError if the answer is an error, a refusal or breaks off. */
	async read(res: Dispatcher.ResponseData): Promise<void> {
		const head = {status: res.statusCode, contentType: header(res, 'content-type') ?? 'application/octet-stream'};
		await this.#rejectFailure(res, head);
		this.#step({type: 'attempt-first-byte', attemptId: this.#action.attemptId});
		const streamed = this.#request.info.kind === 'completion' && head.contentType.startsWith('text/event-stream');
		await (streamed ? this.#readStream(res, head) : this.#readWhole(res, head));
	}

	async #rejectFailure(res: Dispatcher.ResponseData, head: AnswerHead): Promise<void> {
		if (this.#action.forwardTo && head.contentType.startsWith('application/problem+json')) {
			const problem = await res.body.json() as Problem;
			throw new TargetError('refused', {
				refusal: peerRefusal(problem), status: head.status, notRun: problem.ran === 'no', retryAfterMs: problem.retryAfterMs,
			});
		}

		const ownAnswer = this.#request.info.kind === 'call' && serviceStatuses.has(head.status);
		if (!failedStatuses.has(head.status) || ownAnswer || this.#action.forwardTo) {
			return;
		}

		await res.body.dump();
		const notRun = header(res, 'lovageferry-ran') === 'no';
		const retryAfter = Number(header(res, 'retry-after'));
		throw new TargetError(notRun ? 'refused' : 'error-status', {
			status: head.status,
			notRun,
			retryAfterMs: Number.isFinite(retryAfter) && retryAfter > 0 ? retryAfter * 1000 : undefined,
		});
	}

	async #readStream(res: Dispatcher.ResponseData, head: AnswerHead): Promise<void> {
		const reader = new SseReader();
		const decoder = new StringDecoder('utf8');
		for await (const chunk of res.body as AsyncIterable<Buffer>) {
			if (this.ended) {
				// Read on to the end of the response, so that the connection can be used again.
				continue;
			}

			this.#bytes += chunk.length;
			// Order of the stream: a piece is passed on before the next one is read.
			await this.#passEvents(reader.push(decoder.write(chunk)), head);
		}

		if (!this.ended) {
			throw new TargetError('truncated');
		}
	}

	async #passEvents(events: ReturnType<SseReader['push']>, head: AnswerHead): Promise<void> {
		let raw = '';
		let ended = false;
		for (const {raw: text, event} of events) {
			if (event.type === 'end') {
				if (this.#request.info.streamed) {
					this.#keep(Buffer.from(text));
				}

				ended = true;
				break;
			}

			if (event.type === 'error') {
				await this.#passText(raw, head); // eslint-disable-line no-await-in-loop
				throw new TargetError('truncated', {refusal: this.#action.forwardTo && peerRefusal(event.error as Problem)});
			}

			raw += text;
			this.#note(event);
		}

		await this.#passText(raw, head);
		if (ended) {
			this.#endStream(head);
		}
	}

	/** The end marker came: a caller that wants the answer in one piece gets it put together. */
	#endStream(head: AnswerHead): void {
		if (this.#request.info.streamed) {
			this.#end(head);
			return;
		}

		const whole = {status: head.status, contentType: 'application/json'};
		const body = Buffer.from(this.#request.assembler.toJson());
		this.#keep(body);
		this.#request.hold(this.#action.attemptId, whole, body);
		this.#end(whole);
	}

	#end(head: AnswerHead): void {
		this.ended = true;
		this.#step({
			type: 'attempt-end',
			attemptId: this.#action.attemptId,
			tokens: this.tokens,
			bytes: this.#bytes,
			answer: this.#keptAnswer(head),
		});
	}

	async #passText(raw: string, head: AnswerHead): Promise<void> {
		if (raw === '') {
			return;
		}

		this.passedOn = true;
		this.#progress();
		if (!this.#request.info.streamed) {
			return;
		}

		this.#keep(Buffer.from(raw));
		await this.#request.pass(this.#action.attemptId, head, raw);
	}

	async #readWhole(res: Dispatcher.ResponseData, head: AnswerHead): Promise<void> {
		const pending: Buffer[] = [];
		for await (const chunk of res.body as AsyncIterable<Buffer>) {
			this.#bytes += chunk.length;
			this.#keep(chunk);
			pending.push(chunk);
			if (this.#bytes > constants.wholeAnswerBytes) {
				await this.#passChunks(pending.splice(0), head);
			}
		}

		if (!this.passedOn) {
			this.#request.hold(this.#action.attemptId, head, Buffer.concat(pending));
		}

		this.#end(head);
	}

	async #passChunks(chunks: readonly Buffer[], head: AnswerHead): Promise<void> {
		this.passedOn = true;
		for (const chunk of chunks) {
			await this.#request.pass(this.#action.attemptId, head, chunk); // eslint-disable-line no-await-in-loop
		}

		this.#progress();
	}

	#note(event: ReturnType<SseReader['push']>[number]['event']): void {
		if (event.type === 'token') {
			this.tokens += 1;
		}

		if (!this.#request.owns(this.#action.attemptId)) {
			return;
		}

		if (event.type === 'token') {
			this.#request.passedTokens += 1;
			this.#request.passedText += event.text;
		}

		if (!this.#request.info.streamed && 'data' in event && event.data !== undefined) {
			this.#request.assembler.add(event.data);
		}
	}

	#progress(): void {
		const now = performance.now();
		if (now - this.#progressAt < progressIntervalMs) {
			return;
		}

		this.#progressAt = now;
		this.#step({
			type: 'attempt-progress', attemptId: this.#action.attemptId, tokens: this.tokens, bytes: this.#bytes,
		});
	}

	#keep(chunk: Buffer): void {
		this.#keptBytes += chunk.length;
		if (this.#keptBytes <= this.#action.keepBytes) {
			this.#kept.push(chunk);
			return;
		}

		this.#kept = [];
	}

	#keptAnswer(head: AnswerHead): StoredAnswer | undefined {
		return this.#action.keepBytes > 0 && this.#keptBytes <= this.#action.keepBytes
			? {...head, body: Buffer.concat(this.#kept).toString('base64')}
			: undefined;
	}
}

function header(res: Dispatcher.ResponseData, name: string): string | undefined {
	const value = res.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

function peerRefusal(problem: Problem): Refusal {
	return {
		result: problem.result, ran: problem.ran, retryAfterMs: problem.retryAfterMs, detail: problem.detail,
	};
}
