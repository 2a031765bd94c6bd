import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {constants} from '../settings/constants.ts';
import {attemptHeader} from './attempt-header.ts';
import {ListenError} from './listen-error.ts';
import type {HttpRoute} from './http-route.ts';
import {log} from './log.ts';
import {ProcessMemory} from './process-memory.ts';
import {refuseRequest} from './refuse-request.ts';
import {ServerConnections} from './server-connections.ts';

type ApiServerOptions = {
	readonly listen: {readonly host: string; readonly port: number};
	readonly routes: readonly HttpRoute[];
	/** Bounds on what the requests of the whole process hold; of this server alone by default. */
	readonly memory?: ProcessMemory;
	/** Refuses a request that was not read any further, for which the process has no memory. @default with status 503 */
	readonly refuseOverloaded?: (res: ServerResponse) => void;
};

/** HTTP server for callers, targets and operators. */
export class ApiServer {
	readonly #server: Server;
	readonly #connections: ServerConnections;
	readonly #routes: readonly HttpRoute[];
	readonly #listen: {readonly host: string; readonly port: number};
	readonly #log = log('http');

	constructor(options: ApiServerOptions) {
		const {memory = new ProcessMemory(), refuseOverloaded = refuseRequest} = options;
		this.#listen = options.listen;
		this.#routes = options.routes;
		this.#server = createServer({
			headersTimeout: constants.headersTimeoutMs,
			requestTimeout: constants.headersTimeoutMs + constants.bodyTimeoutMs,
			keepAliveTimeout: 5000,
			noDelay: true,
		});
		this.#connections = new ServerConnections(this.#server, {memory, kind: 'callers'}, (req, res, hold) => {
			const attemptId = req.headers[attemptHeader];
			if (attemptId !== undefined) {
				// Whatever the answer is, the entry that forwarded the request can tell which attempt it is for.
				res.setHeader(attemptHeader, attemptId);
			}

			if (hold.start()) {
				void this.#handle(req, res);
			} else {
				refuseOverloaded(res);
			}
		});
	}

	async open(): Promise<void> {
		const {host, port} = this.#listen;
		return new Promise((resolve, reject) => {
			this.#server.once('error', (cause: Error) => {
				reject(new ListenError({
					key: 'listen.callers', host, port, cause,
				}));
			});
			this.#server.listen(port, host, 1024, resolve);
		});
	}

	/** Stops accepting connections and closes those on which nothing is answered; resolves once the others have ended. */
	async close(): Promise<void> {
		return new Promise(resolve => {
			void this.#connections.stopListening(resolve);
		});
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		try {
			const url = new URL(req.url ?? '/', 'http://gateway');
			const route = this.#routes.find(candidate => matches(candidate, req.method ?? 'GET', url.pathname));
			if (!route) {
				res.writeHead(404, {'content-type': 'application/json'}).end('{"error":"no such path"}');
				return;
			}

			await route.handle(req, res, url);
		} catch (error) {
			this.#log(`handler failed: ${(error as Error).stack ?? String(error)}`);
			if (res.headersSent) {
				res.destroy();
				return;
			}

			res.writeHead(500).end();
		}
	}
}

function matches(route: HttpRoute, method: string, path: string): boolean {
	return (route.method === '*' || route.method === method)
		&& (route.path.endsWith('/') ? path.startsWith(route.path) : path === route.path);
}
