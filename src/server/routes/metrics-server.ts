import type {Metrics} from '../metrics.ts';
import {HttpServer} from './http-server.ts';

type MetricsServerOptions = {
	readonly listen: {readonly host: string; readonly port: number};
	readonly metrics: Metrics;
	/** What the process knows now, for people. */
	readonly status: () => unknown;
	readonly onError: (error: Error) => void;
};

/** Time after which an idle connection is closed, in milliseconds: Node's own default. */
const idleMs = 5000;

/** Serves `/metrics` as text and `/status` as JSON to those who watch the process. */
export class MetricsServer extends HttpServer {
	constructor({listen, metrics, status, onError}: MetricsServerOptions) {
		super({
			key: 'listen.metricsPort',
			listen,
			onError,
			keepAliveMs: idleMs,
			handle(req, res) {
				if (req.url === '/status') {
					res.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(status()));
				} else {
					res.writeHead(200, {'content-type': 'text/plain; version=0.0.4'}).end(metrics.expose());
				}
			},
		});
	}
}
