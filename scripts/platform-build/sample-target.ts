import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

const eventsPerStream = 3;
/** Interval between two events, in milliseconds: long enough for each to be passed on by itself. */
const eventIntervalMs = 2;

/** A target that answers streams and calls at once, for traffic of a build. */
export class SampleTarget {
	readonly #server: Server = createServer((req, res) => {
		req.resume();
		void answer(req, res);
	});

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async listen(): Promise<void> {
		return new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}
}

async function answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
	const isStream = req.url!.startsWith('/streams/');
	res.writeHead(200, {
		'Content-Type': isStream ? 'text/event-stream' : 'application/json',
		'Request-Identifier': req.headers['request-identifier'] ?? '',
		'Server-Signature': 'sample',
		'Server-Load': '1,0,8,100',
	});
	if (!isStream) {
		res.end('{}');
		return;
	}

	for (let id = 1; id <= eventsPerStream; id++) {
		res.write(`id: ${id}\ndata: sample\n\n`);
		await sleep(eventIntervalMs); // eslint-disable-line no-await-in-loop
	}

	res.end();
}
