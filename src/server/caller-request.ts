import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AttemptId} from '../core/ids/attempt-id.ts';
import type {StoredAnswer} from '../core/ledger/stored-answer.ts';
import type {RequestInfo} from '../core/settings/request-info.ts';
import {CompletionAssembler} from './completion-assembler.ts';
import type {ProblemDocument} from './problem-document.ts';
import {sendProblem} from './send-problem.ts';

type ResponseHead = {readonly status: number; readonly contentType: string};

/** One caller's request while it is open: its body, its response, and the attempt that may write to it. */
export class CallerRequest {
	readonly info: RequestInfo;
	readonly body: Buffer;
	readonly method: string;
	/** Path and query at the target. */
	readonly targetPath: string;
	readonly headers: IncomingMessage['headers'];
	/** Text of an answer that was passed on, or put together, so far, over all attempts. */
	answerText = '';
	/** Tokens of that text. */
	answerTokens = 0;
	/** The answer so far, where the caller wants it in one piece. */
	assembler = new CompletionAssembler();
	readonly #res: ServerResponse;
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
	}) {
		this.info = options.info;
		this.body = options.body;
		this.method = options.method;
		this.targetPath = options.targetPath;
		this.headers = options.headers;
		this.#res = options.res;
	}

	/** True once bytes of an answer were passed on. */
	get answerStarted(): boolean {
		return this.#res.headersSent;
	}

	/** True if the caller closed the connection. */
	get closed(): boolean {
		return this.#res.destroyed && !this.#res.writableFinished;
	}

	/** Makes an attempt the only one that may write to the caller; undefined: none. */
	setOwner(attemptId: AttemptId | undefined): void {
		this.#owner = attemptId;
		this.#heldResponse = undefined;
	}

	/** Forgets what earlier attempts put together: the next one starts from the beginning. */
	resetAnswer(): void {
		this.answerText = '';
		this.answerTokens = 0;
		this.assembler = new CompletionAssembler();
	}

	isOwnedBy(attemptId: AttemptId): boolean {
		return this.#owner === attemptId;
	}

	/** Passes a piece of a streamed answer on; resolves when the caller can take more. */
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

	/** Keeps a whole answer until the core says that it is the request's. */
	holdResponse(attemptId: AttemptId, head: ResponseHead, body: Buffer): void {
		if (this.isOwnedBy(attemptId)) {
			this.#heldResponse = {head, body};
		}
	}

	/** Ends the response as whole. */
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

	replay(answer: StoredAnswer): void {
		this.#sendResponse({status: answer.status, contentType: answer.contentType}, Buffer.from(answer.body, 'base64'), {'lovageferry-replayed': 'true'});
	}

	/** Gives the final answer that is not a target's; a response under way is never ended as if it were whole. */
	refuse(problem: ProblemDocument): void {
		this.setOwner(undefined);
		if (!this.#res.headersSent) {
			sendProblem(this.#res, problem);
			return;
		}

		if (this.#streaming && this.info.streamed) {
			this.#res.end(`data: ${JSON.stringify({error: problem})}\n\n`);
			return;
		}

		this.#res.destroy();
	}

	#sendResponse(head: ResponseHead, body: Buffer, extraHeaders: Record<string, string>): void {
		if (this.#res.destroyed || this.#res.headersSent) {
			return;
		}

		this.#res.writeHead(head.status, {'content-type': head.contentType, 'content-length': body.length, ...extraHeaders});
		this.#res.end(body);
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
