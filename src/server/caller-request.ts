import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AttemptId} from '../core/ids/attempt-id.ts';
import type {StoredAnswer} from '../core/ledger/stored-answer.ts';
import type {RequestInfo} from '../core/settings/request-info.ts';
import {abortResponse} from './abort-response.ts';
import {CallerPresence} from './caller-presence.ts';
import {holdUnread} from './hold-unread.ts';
import type {ProcessMemory} from './process-memory.ts';
import {CompletionAssembler} from './completion-assembler.ts';
import type {ProblemDocument} from './problem-document.ts';
import {sendProblem} from './send-problem.ts';

type ResponseHead = {readonly status: number; readonly contentType: string};

/** An open request of a caller: its body, its response, and the attempt that may write to the response. */
export class CallerRequest {
	readonly info: RequestInfo;
	readonly presence: CallerPresence;
	readonly body: Buffer;
	readonly method: string;
	/** Path and query to request from the target. */
	readonly targetPath: string;
	readonly headers: IncomingMessage['headers'];
	/** Answer text written to the caller or assembled so far, over all attempts. */
	answerText = '';
	/** Number of tokens in `answerText`. */
	answerTokens = 0;
	/** Collects the answer if the caller did not ask for a stream. */
	assembler = new CompletionAssembler();
	readonly #res: ServerResponse;
	readonly #memory: ProcessMemory;
	#owner: AttemptId | undefined;
	#heldResponse: {head: ResponseHead; body: Buffer} | undefined;
	#streaming = false;

	constructor(options: {
		info: RequestInfo;
		body: Buffer;
		method: string;
		targetPath: string;
		headers: IncomingMessage['headers'];
		res: ServerResponse;
		memory: ProcessMemory;
	}) {
		this.info = options.info;
		this.body = options.body;
		this.method = options.method;
		this.targetPath = options.targetPath;
		this.headers = options.headers;
		this.#res = options.res;
		this.#memory = options.memory;
		this.presence = new CallerPresence(options.res);
	}

	/** True once the response headers were sent. */
	get answerStarted(): boolean {
		return this.#res.headersSent;
	}

	/** True if the connection was closed before the response was complete. */
	get closed(): boolean {
		return this.#res.destroyed && !this.#res.writableFinished;
	}

	/** Makes an attempt the only one that may write to the response; discards the answer text of earlier attempts unless it resumes. */
	handOver(attemptId: AttemptId, {resume}: {resume: boolean}): void {
		this.#setOwner(attemptId);
		if (resume) {
			return;
		}

		this.answerText = '';
		this.answerTokens = 0;
		this.assembler = new CompletionAssembler();
	}

	isOwnedBy(attemptId: AttemptId): boolean {
		return this.#owner === attemptId;
	}

	/** Writes a chunk of the answer; resolves once the response accepts more. Ignored unless the attempt owns the request. */
	async write(attemptId: AttemptId, head: ResponseHead, chunk: string | Uint8Array): Promise<void> {
		if (!this.isOwnedBy(attemptId) || this.#res.destroyed) {
			return;
		}

		if (!this.#res.headersSent) {
			this.#streaming = true;
			this.#res.writeHead(head.status, {'content-type': head.contentType, 'cache-control': 'no-store'});
		}

		if (this.#res.write(chunk)) {
			return;
		}

		await this.#waitUntilWritable();
	}

	/** Holds a complete response until the core accepts it as the answer. Ignored unless the attempt owns the request. */
	holdResponse(attemptId: AttemptId, head: ResponseHead, body: Buffer): void {
		if (this.isOwnedBy(attemptId)) {
			this.#heldResponse = {head, body};
		}
	}

	/** Completes the response: sends the held one, or ends the stream with `endMarker`. */
	complete(attemptId: AttemptId, endMarker: string): void {
		if (!this.isOwnedBy(attemptId) || this.#res.destroyed) {
			return;
		}

		if (this.#heldResponse) {
			this.#sendResponse(this.#heldResponse.head, this.#heldResponse.body, {});
			return;
		}

		this.#res.end(endMarker);
	}

	/** Sends an answer stored in the ledger. */
	replay(answer: StoredAnswer): void {
		this.#sendResponse({status: answer.status, contentType: answer.contentType}, Buffer.from(answer.body, 'base64'), {'lovageferry-replayed': 'true'});
	}

	/**
	 * Ends the request with a refusal. If the response has started, a stream gets an error event and any other
	 * connection is destroyed, so that the caller never takes a partial answer for a complete one.
	 */
	refuse(problem: ProblemDocument): void {
		this.#setOwner(undefined);
		if (!this.#res.headersSent) {
			sendProblem(this.#res, problem);
			return;
		}

		if (this.#streaming && this.info.streamed) {
			this.#res.end(`data: ${JSON.stringify({error: problem})}\n\n`);
			return;
		}

		abortResponse(this.#res);
	}

	/** Makes an attempt the only one that may write to the response, or none if undefined. Discards a held response. */
	#setOwner(attemptId: AttemptId | undefined): void {
		this.#owner = attemptId;
		this.#heldResponse = undefined;
	}

	#sendResponse(head: ResponseHead, body: Buffer, extraHeaders: Record<string, string>): void {
		if (this.#res.destroyed || this.#res.headersSent) {
			return;
		}

		this.#res.writeHead(head.status, {'content-type': head.contentType, 'content-length': body.length, ...extraHeaders});
		this.#res.end(body);
		holdUnread(this.#res, this.#memory);
	}

	async #waitUntilWritable(): Promise<void> {
		return new Promise(resolve => {
			const done = () => {
				this.#res.off('drain', done);
				this.#res.off('close', done);
				resolve();
			};

			this.#res.on('drain', done);
			this.#res.on('close', done);
		});
	}
}
