import type {ServerResponse} from 'node:http';
import process from 'node:process';
import type {GatewayNode} from './gateway-node.ts';
import type {Metrics} from './metrics.ts';
import {sendJson} from './send-json.ts';

const microsecondsPerSecond = 1_000_000;

type ProcessApiOptions = {
	readonly node: GatewayNode;
	readonly metrics: Metrics;
	/** True if the process accepts requests now. */
	readonly ready: () => boolean;
};

/** HTTP handlers for monitoring: health, readiness and metrics. They need no key. */
export class ProcessApi {
	readonly #options: ProcessApiOptions;

	constructor(options: ProcessApiOptions) {
		const {metrics, node} = options;
		this.#options = options;
		metrics.gauge('requests_in_flight', () => node.inFlight());
		metrics.gauge('settings_revision', () => node.tree.revision);
		metrics.gauge('resident_bytes', () => process.memoryUsage.rss());
		metrics.gauge('cpu_seconds', () => {
			const {user, system} = process.cpuUsage();
			return (user + system) / microsecondsPerSecond;
		});
	}

	metrics(res: ServerResponse): void {
		res.writeHead(200, {'content-type': 'text/plain; version=0.0.4'}).end(this.#options.metrics.expose());
	}

	health(res: ServerResponse): void {
		sendJson(res, {alive: true});
	}

	ready(res: ServerResponse): void {
		const ready = this.#options.ready();
		sendJson(res, {ready}, ready ? 200 : 503);
	}
}
