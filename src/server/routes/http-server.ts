import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {ConnectionKind} from '../../core/memory/connection-kind.ts';
import {constants} from '../../settings/constants.ts';
import {ListenError} from '../listen-error.ts';
import {ProcessMemory} from '../process-memory.ts';
import type {RequestHold} from '../request-hold.ts';
import {refuseRequest} from '../refuse-request.ts';
import {ServerConnections} from '../server-connections.ts';

/** Default keep-alive timeout, in milliseconds. */
const defaultKeepAliveMs = 10_000;
/** Interval between checks for connections that exceed the headers timeout, in milliseconds. */
const connectionCheckIntervalMs = 1000;
/** Maximum number of connections that wait to be accepted. */
const backlog = 1024;
/** Maximum size of a request's headers, in bytes; a routes document may set a lower limit. */
const maxHeaderBytes = 65_536;

type HttpServerOptions = {
	/** Settings key of the address, named in a ListenError. */
	readonly key: string;
	readonly listen: {readonly host: string; readonly port: number};
	/** Who opens connections to it. */
	readonly kind: ConnectionKind;
	/** `hold`: what the request holds of the memory of the process. */
	readonly handle: (req: IncomingMessage, res: ServerResponse, hold: RequestHold) => Promise<void> | void;
	/** Refuses a request as not run, for which the process has no memory. @default with status 503 */
	readonly refuseOverloaded?: (res: ServerResponse) => void;
	/** Called with an error that `handle` throws; the client gets status 500, or its connection is aborted if the answer has begun. */
	readonly onError: (error: Error) => void;
	/** Bounds on what the requests of the whole process hold; of this server alone by default. */
	readonly memory?: ProcessMemory;
	/** Time after which the server closes an idle connection, in milliseconds. @default 10_000 */
	readonly keepAliveMs?: number;
};

/** HTTP server on one address. */
export class HttpServer {
	readonly server: Server;
	readonly #options: HttpServerOptions;
	readonly #connections: ServerConnections;

	constructor(options: HttpServerOptions) {
		this.#options = options;
		this.server = createServer({
			keepAliveTimeout: options.keepAliveMs ?? defaultKeepAliveMs,
			headersTimeout: constants.headersTimeoutMs,
			// `readBody` bounds the time for the body.
			requestTimeout: 0,
			maxHeaderSize: maxHeaderBytes,
			noDelay: true,
			connectionsCheckingInterval: connectionCheckIntervalMs,
		});
		this.#connections = new ServerConnections(this.server, {memory: options.memory ?? new ProcessMemory(), kind: options.kind}, (req, res, hold) => {
			void this.#handle(req, res, hold);
		});
	}

	async open(): Promise<void> {
		const {key, listen: {host, port}} = this.#options;
		return new Promise((resolve, reject) => {
			this.server.once('error', (cause: Error) => {
				reject(new ListenError({
					key, host, port, cause,
				}));
			});
			this.server.listen({host, port, backlog}, resolve);
		});
	}

	/** Stops accepting connections and closes those on which nothing is answered, once the requests that have arrived on them are read. */
	async stopListening(): Promise<void> {
		await this.#connections.stopListening();
	}

	/** Resolves once no request is read or answered. */
	async idle(): Promise<void> {
		return this.#connections.idle();
	}

	async close(): Promise<void> {
		return new Promise(resolve => {
			this.server.close(() => {
				resolve();
			});
			this.server.closeAllConnections();
		});
	}

	async #handle(req: IncomingMessage, res: ServerResponse, hold: RequestHold): Promise<void> {
		const {handle, refuseOverloaded = refuseRequest} = this.#options;
		if (!hold.start()) {
			refuseOverloaded(res);
			return;
		}

		try {
			await handle(req, res, hold);
		} catch (error) {
			this.#options.onError(error as Error);
			if (res.headersSent) {
				res.destroy();
			} else {
				res.writeHead(500).end();
			}
		}
	}
}
