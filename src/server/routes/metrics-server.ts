import type {Metrics} from '../metrics.ts';
import type {ProcessMemory} from '../process-memory.ts';
import {HttpServer} from './http-server.ts';

type MetricsServerOptions = {
	readonly listen: {readonly host: string; readonly port: number};
	readonly metrics: Metrics;
	/** Current state of the process, as shown to operators. */
	readonly status: () => unknown;
	readonly onError: (error: Error) => void;
	readonly memory: ProcessMemory;
};

/** Keep-alive timeout, in milliseconds; the same as Node's default. */
const keepAliveMs = 5000;

/** Serves `/metrics` in the Prometheus text format and `/status` as JSON. */
export class MetricsServer extends HttpServer {
	constructor({listen, metrics, status, onError, memory}: MetricsServerOptions) {
		super({
			key: 'listen.metricsPort',
			listen,
			kind: 'status',
			memory,
			onError,
			keepAliveMs,
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
