import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';

/**
 * A stand-in for an engine of the pages: it reports itself every `heartbeatMs`, to one control machine after the other
 * if a call fails, and runs each request with `run`. A request counts as run from its arrival on.
 */
export class Engine {
	/** Requests in the order in which they arrived: id, time and `Last-Event-Id`. */
	arrivals = [];
	#options;
	#server;
	#sequence = 0;
	#born = Date.now();
	#timer;
	#control = 0;
	/** Version of the engine's software. */
	#version = 'v1';
	#sockets = new Set();

	/** @param options - `id`, `host`, `port`, `service`, `zone`, `slots`, `controls` (host and port of each), `heartbeatMs` and `run(req, res, body, engine)`. */
	constructor(options) {
		this.#options = options;
		this.#server = http.createServer({maxHeaderSize: 65_536, keepAliveTimeout: 10_000}, (req, res) => {
			this.#handle(req, res);
		});
		this.#server.on('clientError', (error, socket) => {
			socket.destroy();
		});
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('close', () => this.#sockets.delete(socket));
		});
	}

	get zone() {
		return this.#options.zone;
	}

	get id() {
		return this.#options.id;
	}

	get version() {
		return this.#version;
	}

	async start() {
		await this.#listen();
		await this.#report();
		this.#reportSteadily();
	}

	/** Ends the process: what it runs is broken off by a reset, and channels on which nothing runs are closed, as the kernel does for a process that is killed. */
	async end() {
		clearInterval(this.#timer);
		for (const socket of this.#sockets) {
			if (this.#running.has(socket)) {
				socket.resetAndDestroy();
			} else {
				socket.destroy();
			}
		}

		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	/** Starts again under the same identifier and at the same address, and reports itself `reportAfterMs` later. */
	async startAgain({version, reportAfterMs}) {
		this.#version = version;
		this.#born = Date.now();
		this.#sequence = 0;
		await this.#listen();
		this.#timer = setTimeout(async () => {
			await this.#report();
			this.#reportSteadily();
		}, reportAfterMs);
	}

	async stop() {
		clearInterval(this.#timer);
		this.#server.closeAllConnections();
		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	/** Headers that an engine sends in the answer to a request that it has run. */
	answerHeaders(req) {
		return {
			'Request-Identifier': req.headers['request-identifier'] ?? '', 'Server-Signature': `${this.id}.signature`,
		};
	}

	#running = new Set();

	async #listen() {
		const {host, port} = this.#options;
		await new Promise(resolve => {
			this.#server.listen({host, port, backlog: 1024}, resolve);
		});
	}

	#reportSteadily() {
		this.#timer = setInterval(async () => this.#report(), this.#options.heartbeatMs);
	}

	async #handle(req, res) {
		this.#running.add(req.socket);
		res.on('close', () => this.#running.delete(req.socket));
		const chunks = [];
		try {
			for await (const chunk of req) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		const expected = req.headers['expected-instance'];
		if (expected !== undefined && expected !== this.id) {
			res.writeHead(421, {'Not-Executed': '1', 'Request-Identifier': req.headers['request-identifier'] ?? ''}).end();
			return;
		}

		this.arrivals.push({id: req.headers['request-identifier'], at: performance.now(), lastEventId: req.headers['last-event-id']});
		await this.#options.run(req, res, Buffer.concat(chunks), this);
	}

	async #report() {
		const {id, host, port, service, zone, slots, controls} = this.#options;
		this.#sequence += 1;
		const body = JSON.stringify({
			service, address: `${host}:${port}`, zone, version: this.#version, slots, state: 'ready', 'cold-remaining-ms': 0, born: this.#born, sequence: this.#sequence,
		});
		for (let tried = 0; tried < controls.length; tried++) {
			const {status} = await this.#options.call({ // eslint-disable-line no-await-in-loop
				...controls[this.#control % controls.length], method: 'PUT', path: `/instances/${id}`, headers: {'Content-Type': 'application/json'}, body, timeoutMs: 1000,
			});
			if (status === 200) {
				return;
			}

			this.#control += 1;
		}
	}
}
