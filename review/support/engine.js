import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/** Interval between two events of a stream, in milliseconds. */
const eventIntervalMs = 20;

/** Stand-in of a server: it runs requests, signs its answers and reports itself. */
export class Engine {
	sequence = 0;
	reports = true;
	state = 'ready';
	/** Version of its software, in its reports and in each event of a stream. */
	softwareVersion = 'v1';
	/** Runs in order: `id`, `method`, `path`, `bytes` of the body, `at` and the `headers`. */
	runs = [];
	/** Called for each request that runs, before the answer; it answers the request itself if it returns true. */
	onRun;
	/** Time that a call takes, in milliseconds. */
	workMs = 40;
	/** Body of an answer to a call. */
	answer = 'answer';
	#server;
	#port = 0;
	#sockets = new Set();
	#record;

	constructor({identifier, service, zone, ip, record, slots = 6}) {
		this.identifier = identifier;
		this.service = service;
		this.zone = zone;
		this.ip = ip;
		this.slots = slots;
		this.born = Date.now();
		this.#record = record;
		this.#server = createServer((req, res) => {
			this.#handle(req, res);
		});
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		});
	}

	get address() {
		return `${this.ip}:${this.#port}`;
	}

	async listen() {
		return new Promise(resolve => {
			this.#server.listen({host: this.ip, port: 0}, () => {
				this.#port = this.#server.address().port;
				resolve();
			});
		});
	}

	/** Resets all channels and stops to listen, as in a crash. */
	async crash() {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}

		await this.close();
	}

	/** Starts again at its address under its identifier; it holds and knows nothing of before. */
	async restart(softwareVersion) {
		this.softwareVersion = softwareVersion;
		this.sequence = 0;
		this.born = Date.now();
		return new Promise(resolve => {
			this.#server.listen({host: this.ip, port: this.#port}, resolve);
		});
	}

	async close() {
		this.#server.closeAllConnections();
		return new Promise(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	report() {
		return {
			service: this.service,
			address: this.address,
			zone: this.zone,
			version: this.softwareVersion,
			slots: this.slots,
			state: this.state,
			'cold-remaining-ms': 0,
			sequence: this.sequence,
			born: this.born,
		};
	}

	async #handle(req, res) {
		let bytes = 0;
		for await (const chunk of req) {
			bytes += chunk.length;
		}

		const id = req.headers['request-identifier'] ?? '';
		const expected = req.headers['expected-instance'];
		const head = {'request-identifier': id, 'server-signature': `${this.identifier}.${id}.sig`};
		if (expected !== undefined && expected !== this.identifier) {
			res.writeHead(421, {'request-identifier': id, 'not-executed': '1'}).end();
			return;
		}

		const run = {
			id, method: req.method, path: req.url, bytes, at: Date.now(), headers: req.headers,
		};
		this.runs.push(run);
		this.#record(`engine ${this.identifier}: runs ${id} (${req.method} ${req.url}, ${bytes} bytes)`);
		if (await this.onRun?.(req, res, head, run)) {
			return;
		}

		if (req.headers['token-counts'] === undefined) {
			setTimeout(() => {
				res.writeHead(200, {...head, 'content-type': 'text/plain', 'content-length': Buffer.byteLength(this.answer)}).end(this.answer);
			}, this.workMs);
			return;
		}

		const events = Number(req.headers['token-counts'].split(',')[1]) / 8;
		let next = Number(req.headers['last-event-id'] ?? 0) + 1;
		res.writeHead(200, {...head, 'content-type': 'text/event-stream'});
		const timer = setInterval(() => {
			res.write(`id: ${next}\ndata: piece ${next} of ${this.softwareVersion}\n\n`);
			next += 1;
			if (next > events) {
				clearInterval(timer);
				res.end();
			}
		}, eventIntervalMs);
		res.on('close', () => {
			clearInterval(timer);
		});
	}
}
