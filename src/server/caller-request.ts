import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AttemptId} from '../core/ids/attempt-id.ts';
import type {StoredAnswer} from '../core/ledger/stored-answer.ts';
import type {RequestInfo} from '../core/settings/request-info.ts';
import {CompletionAssembler} from './completion-assembler.ts';
import type {Problem} from './problem-document.ts';
import {sendProblem} from './send-problem.ts';

type AnswerHead = {readonly status: number; readonly contentType: string};

/** One caller's request while it is open: its body, its response, and the attempt that may write to it. */
export class CallerRequest {
	readonly info: RequestInfo;
	readonly body: Buffer;
	readonly method: string;
	/** Path and query at the target. */
	readonly targetPath: string;
	readonly headers: IncomingMessage['headers'];
	/** Text of an answer that was passed on, or put together, so far, over all attempts. */
	passedText = '';
	/** Tokens of that text. */
	passedTokens = 0;
	/** The answer so far, where the caller wants it in one piece. */
	assembler = new CompletionAssembler();
	readonly #res: ServerResponse;
	#owner: AttemptId | undefined;
	#held: {head: AnswerHead; body: Buffer} | undefined;
	#streamed = false;

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
	get passedOn(): boolean {
		return this.#res.headersSent;
	}

	/** True if the caller closed the connection. */
	get gone(): boolean {
		return this.#res.destroyed && !this.#res.writableFinished;
	}

	/** Makes an attempt the only one that may write to the caller; undefined: none. */
	bind(attemptId: AttemptId | undefined): void {
		this.#owner = attemptId;
		this.#held = undefined;
	}

	/** Forgets what earlier attempts put together: the next one starts from the beginning. */
	restart(): void {
		this.passedText = '';
		this.passedTokens = 0;
		this.assembler = new CompletionAssembler();
	}

	owns(attemptId: AttemptId): boolean {
		return this.#owner === attemptId;
	}

	/** Passes a piece of a streamed answer on; resolves when the caller can take more. */
	async pass(attemptId: AttemptId, head: AnswerHead, chunk: string | Uint8Array): Promise<void> {
		if (!this.owns(attemptId) || this.#res.destroyed) {
			return;
		}

		if (!this.#res.headersSent) {
			this.#streamed = true;
			this.#res.writeHead(head.status, {'content-type': head.contentType, 'cache-control': 'no-store'});
		}

		if (this.#res.write(chunk)) {
			return;
		}

		await this.#writable();
	}

	/** Keeps a whole answer until the core says that it is the request's. */
	hold(attemptId: AttemptId, head: AnswerHead, body: Buffer): void {
		if (this.owns(attemptId)) {
			this.#held = {head, body};
		}
	}

	/** Ends the response as whole. */
	complete(attemptId: AttemptId, endMarker: string): void {
		if (!this.owns(attemptId) || this.#res.destroyed) {
			return;
		}

		if (this.#held) {
			this.#sendWhole(this.#held.head, this.#held.body, {});
			return;
		}

		this.#res.end(endMarker);
	}

	replay(answer: StoredAnswer): void {
		this.#sendWhole({status: answer.status, contentType: answer.contentType}, Buffer.from(answer.body, 'base64'), {'lovageferry-replayed': 'true'});
	}

	/** Gives the final answer that is not a target's; a response under way is never ended as if it were whole. */
	refuse(problem: Problem): void {
		this.bind(undefined);
		if (!this.#res.headersSent) {
			sendProblem(this.#res, problem);
			return;
		}

		if (this.#streamed && this.info.streamed) {
			this.#res.end(`data: ${JSON.stringify({error: problem})}\n\n`);
			return;
		}

		this.#res.destroy();
	}

	#sendWhole(head: AnswerHead, body: Buffer, extra: Record<string, string>): void {
		if (this.#res.destroyed || this.#res.headersSent) {
			return;
		}

		this.#res.writeHead(head.status, {'content-type': head.contentType, 'content-length': body.length, ...extra});
		this.#res.end(body);
	}

	async #writable(): Promise<void> {
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
