import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {EdgeEvent} from '../../core/edge/edge-event.ts';
import type {CallerKey} from '../../core/ids/caller-key.ts';
import type {Millis} from '../../core/ids/millis.ts';
import type {RequestId} from '../../core/ids/request-id.ts';
import {toId} from '../../core/ids/to-id.ts';
import type {CallerLimits} from '../../core/routes/caller-limits.ts';
import {BodyError} from '../body-error.ts';
import {CallerPresence} from '../caller-presence.ts';
import {boundedId} from '../bounded-id.ts';
import {BodyHold} from '../body-hold.ts';
import type {ProcessMemory} from '../process-memory.ts';
import type {RequestHold} from '../request-hold.ts';
import {fingerprintOf} from '../fingerprint-of.ts';
import {readBody} from '../read-body.ts';
import {CallerExchange} from './caller-exchange.ts';
import {HttpServer} from './http-server.ts';
import {relayHeader} from './relay-header.ts';
import type {RequestCodec} from './request-codec.ts';

/** Limits that apply until a routes document sets them. */
const initialLimits: CallerLimits = {
	headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};
/** Margin added to the document's idle timeout, in milliseconds, so that callers close idle connections first and never send a request on one that the server is closing. */
const idleMarginMs = 2000;
const bodyErrorStatuses: Readonly<Record<string, number>> = {tooLarge: 413, slowCaller: 408};
const overloadedStatus = 503;
/** Retry delay of a request that the process has no memory for, in milliseconds. */
const overloadRetryAfterMs = 1000;

type RequestServerOptions = {
	readonly key: string;
	readonly listen: {readonly host: string; readonly port: number};
	/** True for the server that receives requests forwarded by entries of remote regions. */
	readonly relay: boolean;
	readonly codec: RequestCodec;
	/** Bounds on what the requests of the whole process hold. */
	readonly memory: ProcessMemory;
	readonly exchanges: Map<RequestId, CallerExchange>;
	readonly step: (event: EdgeEvent) => void;
	readonly now: () => Millis;
	/** True while the entry drains: connections are then closed after their answer. */
	readonly leaving: () => boolean;
	readonly onError: (error: Error) => void;
};

let lastRequestNumber = 0;

/** Accepts requests from callers, or requests forwarded by entries of remote regions, and passes them to the core. */
export class RequestServer {
	readonly #options: RequestServerOptions;
	readonly #http: HttpServer;
	#limits = initialLimits;

	constructor(options: RequestServerOptions) {
		this.#options = options;
		this.#http = new HttpServer({
			...options,
			kind: options.relay ? 'entries' : 'callers',
			keepAliveMs: initialLimits.idleTimeoutMs + idleMarginMs,
			handle: async (req, res, hold) => this.#handle(req, res, hold),
			refuseOverloaded: res => {
				this.#refuseOverloaded(res);
			},
		});
		this.setLimits(initialLimits);
	}

	async open(): Promise<void> {
		return this.#http.open();
	}

	/** Applies the limits of a new routes document. */
	setLimits(limits: CallerLimits): void {
		this.#limits = limits;
		this.#http.server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
		this.#http.server.headersTimeout = 2 * limits.headerTimeoutMs;
	}

	async stopListening(): Promise<void> {
		await this.#http.stopListening();
	}

	/** Resolves once no request is read or answered. */
	async idle(): Promise<void> {
		return this.#http.idle();
	}

	async close(): Promise<void> {
		return this.#http.close();
	}

	async #handle(req: IncomingMessage, res: ServerResponse, hold: RequestHold): Promise<void> {
		const {codec, memory, exchanges, step, now, relay, leaving} = this.#options;
		const arrivedAt = now();
		res.sendDate = false;
		const body = await this.#readBody(req, res);
		const presence = new CallerPresence(res);
		if (body === undefined || !await presence.confirm()) {
			return;
		}

		if (leaving()) {
			res.setHeader('Connection', 'close');
			res.shouldKeepAlive = false;
		}

		const head = codec.readRequest(lineAndHeaders(req));
		if (!hold.begin({items: head.prompt?.parts.length, isCounted: true})) {
			this.#refuseOverloaded(res);
			return;
		}

		lastRequestNumber += 1;
		const requestId = toId<RequestId>(String(lastRequestNumber));
		const relayed = relay ? relayHeader.read(req.headers[relayHeader.name]) : undefined;
		const forwarded = relayed && {...relayed, isIdempotent: relayHeader.readIdempotent(req.headers[relayHeader.idempotentName])};
		const exchange = new CallerExchange({
			res,
			memory,
			presence,
			head,
			body,
			edgeRequest: {
				requestId,
				callerKey: boundedId(head.key),
				host: head.host,
				path: head.path,
				// Headers are left out: callers send a request again under another id and with another deadline.
				fingerprint: toId(fingerprintOf(`${head.method} ${head.host.toLowerCase()} ${head.path}`, body)),
				arrivedAt,
				budgetMs: head.budgetMs,
				prompt: head.prompt,
				resumeAfter: head.resumeAfter,
				resumes: head.resumes === undefined ? undefined : boundedId<CallerKey>(head.resumes),
				keyDigest: head.keyDigest,
				organisation: forwarded && relayHeader.readOrganisation(req.headers[relayHeader.organisationName]),
				forwarded,
			},
		});
		exchanges.set(requestId, exchange);
		presence.onceEnded(left => {
			exchanges.delete(requestId);
			if (left) {
				step({type: 'caller-gone', requestId});
			}
		});
		presence.whileConfirmed(() => {
			step({type: 'request', req: exchange.edgeRequest});
		});
	}

	/** Reads the body. A request over the limits is refused here; the result is then undefined. */
	async #readBody(req: IncomingMessage, res: ServerResponse): Promise<Buffer | undefined> {
		// The entry that forwarded a request has checked what its caller sent, and has added headers.
		if (!this.#options.relay && headerLength(req) > this.#limits.headerBytes) {
			this.#options.memory.turnedAway('oversized-head');
			refuse(res, 431, 'the headers are too large');
			return undefined;
		}

		if (req.headers['content-length'] === undefined && req.headers['transfer-encoding'] === undefined) {
			req.resume();
			return Buffer.alloc(0);
		}

		try {
			return await readBody(req, this.#limits.bodyBytes, new BodyHold(this.#options.memory, req, res));
		} catch (error) {
			if (!(error instanceof BodyError)) {
				throw error;
			}

			const status = bodyErrorStatuses[error.result];
			if (error.result === 'overloaded') {
				this.#refuseOverloaded(res, error.message);
			} else if (status !== undefined) {
				refuse(res, status, error.message);
			}

			return undefined;
		}
	}

	#refuseOverloaded(res: ServerResponse, title = 'too many requests are in progress, or they take too much memory'): void {
		if (res.headersSent) {
			return;
		}

		const {codec, relay} = this.#options;
		res.setHeader('retry-after', codec.formatRetryAfter(overloadRetryAfterMs));
		if (relay) {
			// The entry that forwarded the request may send it elsewhere.
			res.setHeader(relayHeader.refusedName, relayHeader.writeRefusal({reason: 'overloaded', reachedTarget: false}));
			const [name, key] = codec.namingHeaders(codec.readRequest(lineAndHeaders(res.req)).key);
			if (name !== undefined && key !== undefined) {
				res.setHeader(name, key);
			}
		}

		refuse(res, overloadedStatus, title);
	}
}

/** Refuses a request that exceeds the document's limits and closes its connection, so that the rest is not read. */
function refuse(res: ServerResponse, status: number, title: string): void {
	if (!res.destroyed && !res.headersSent) {
		res.writeHead(status, {connection: 'close', 'content-type': 'application/problem+json'}).end(JSON.stringify({title, ran: 'no'}));
	}
}

function lineAndHeaders({method = 'GET', url = '/', rawHeaders}: IncomingMessage): Parameters<RequestCodec['readRequest']>[0] {
	return {method, url, rawHeaders};
}

/** Size of the request's header lines, in bytes. */
function headerLength({rawHeaders}: IncomingMessage): number {
	// Two bytes follow each part: ": " after a name, CRLF after a value.
	return rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
}
