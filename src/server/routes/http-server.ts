import {
	createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse,
} from 'node:http';
import {ListenError} from '../listen-error.ts';

/** Time after which an idle connection is closed, in milliseconds, where nothing else is known of its callers. */
const defaultKeepAliveMs = 10_000;
/** Time between two looks for connections whose headers take too long, in milliseconds. */
const connectionCheckIntervalMs = 1000;
/** Connections that wait to be accepted at most. */
const backlog = 1024;
/** Headers that are read at most, in bytes; a document may allow less. */
const maxHeaderBytes = 65_536;

type HttpServerOptions = {
	/** Key of the settings that holds the address, for errors. */
	readonly key: string;
	readonly listen: {readonly host: string; readonly port: number};
	readonly handle: (req: IncomingMessage, res: ServerResponse) => Promise<void> | void;
	/** Called when a handler throws. */
	readonly onError: (error: Error) => void;
	/** Time after which an idle connection is closed, in milliseconds. @default 10_000 */
	readonly keepAliveMs?: number;
};

/** One listening HTTP server of a process. */
export class HttpServer {
	readonly server: Server;
	readonly #options: HttpServerOptions;

	constructor(options: HttpServerOptions) {
		this.#options = options;
		const listener: RequestListener = (req, res) => {
			void this.#handle(req, res);
		};

		this.server = createServer({
			keepAliveTimeout: options.keepAliveMs ?? defaultKeepAliveMs,
			requestTimeout: 0,
			maxHeaderSize: maxHeaderBytes,
			noDelay: true,
			connectionsCheckingInterval: connectionCheckIntervalMs,
		}, listener);
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

	/** Takes no more connections; open ones end with their answers. */
	stopListening(): void {
		this.server.close();
		this.server.closeIdleConnections();
	}

	async close(): Promise<void> {
		return new Promise(resolve => {
			this.server.close(() => {
				resolve();
			});
			this.server.closeAllConnections();
		});
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		try {
			await this.#options.handle(req, res);
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
