import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {EdgeRefusal} from '../../core/edge/edge-refusal.ts';
import type {EdgeRequest} from '../../core/edge/edge-request.ts';
import {abortResponse} from '../abort-response.ts';
import type {CallerPresence} from '../caller-presence.ts';
import {holdUnread} from '../hold-unread.ts';
import type {ProcessMemory} from '../process-memory.ts';
import type {RequestHead} from './request-head.ts';

const statusByReason: Readonly<Record<EdgeRefusal['reason'], number>> = {
	'not-configured': 503,
	'no-route': 404,
	unauthorized: 401,
	'key-unverified': 503,
	quota: 429,
	overloaded: 503,
	'no-target': 503,
	paused: 503,
	'origin-unknown': 503,
	contained: 503,
	leaving: 503,
	outdated: 503,
	'target-failed': 502,
	timeout: 504,
};

type CallerExchangeOptions = {
	readonly res: ServerResponse;
	readonly memory: ProcessMemory;
	readonly presence: CallerPresence;
	readonly head: RequestHead;
	readonly edgeRequest: EdgeRequest;
	readonly body: Buffer;
};

/** One caller's request and the HTTP response to it. Several attempts may be read at a time, but only the one whose events or answer the core has accepted writes the response: `TargetClient` stops the readers of the others, which are cancelled then. */
export class CallerExchange {
	readonly presence: CallerPresence;
	readonly head: RequestHead;
	readonly edgeRequest: EdgeRequest;
	readonly body: Buffer;
	readonly #res: ServerResponse;
	readonly #memory: ProcessMemory;
	#streaming = false;
	#hasReportedWorking = false;

	constructor({res, memory, presence, head, edgeRequest, body}: CallerExchangeOptions) {
		this.presence = presence;
		this.head = head;
		this.edgeRequest = edgeRequest;
		this.body = body;
		this.#res = res;
		this.#memory = memory;
	}

	/** True once the head of a streamed response was sent. */
	get streaming(): boolean {
		return this.#streaming;
	}

	/** Tells the entry that forwarded the request, if that may send it elsewhere meanwhile, that a target works on it, before the head of the response; further calls have no effect. */
	reportWorking(): void {
		if (this.edgeRequest.forwarded?.isIdempotent === true && !this.#hasReportedWorking && !this.#res.destroyed && !this.#res.headersSent) {
			this.#hasReportedWorking = true;
			this.#res.writeProcessing();
		}
	}

	/** Sends the head of a streamed response; further calls have no effect. */
	startStream(status: number, headers: readonly string[]): void {
		if (this.#streaming || this.#res.destroyed) {
			return;
		}

		this.#streaming = true;
		this.#res.writeHead(status, [...headers]);
		this.#res.flushHeaders();
	}

	/** Writes bytes of a stream; if the caller does not read them fast enough, returns a promise that resolves once it accepts more (backpressure) or is gone. */
	write(bytes: Uint8Array): Promise<void> | undefined {
		if (this.#res.destroyed || this.#res.write(bytes)) {
			return undefined;
		}

		return new Promise<void>(resolve => {
			const done = () => {
				this.#res.off('drain', done);
				this.#res.off('close', done);
				resolve();
			};

			this.#res.once('drain', done);
			this.#res.once('close', done);
		});
	}

	/** Ends a complete stream. */
	endStream(): void {
		this.#res.end();
	}

	/** Sends a buffered answer; has no effect once a head was sent. */
	sendAnswer(status: number, headers: readonly string[], body: Buffer): void {
		if (this.#res.destroyed || this.#res.headersSent) {
			return;
		}

		const empty = status === 204 || status === 304;
		this.#res.writeHead(status, [...headers, ...empty ? [] : ['Content-Length', String(body.length)]]);
		this.#res.end(this.head.method === 'HEAD' || empty ? undefined : body);
		holdUnread(this.#res, this.#memory);
	}

	/** Sends a refusal as a problem document. If a stream has begun, its connection is aborted instead, so that it cannot look complete. */
	refuse({reason, ran}: EdgeRefusal, headers: readonly string[]): void {
		if (this.#res.destroyed) {
			return;
		}

		if (this.#res.headersSent) {
			abortResponse(this.#res);
			return;
		}

		const body = Buffer.from(JSON.stringify({title: reason, ran}));
		this.sendAnswer(statusByReason[reason], ['Content-Type', 'application/problem+json', ...headers], body);
	}
}
