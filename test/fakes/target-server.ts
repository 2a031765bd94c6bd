import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import process from 'node:process';
import type {Announcer} from './announcer.ts';
import type {RunLog} from './run-log.ts';
import type {TargetOptions} from './target-options.ts';

type TargetServerOptions = {
	readonly target: TargetOptions;
	readonly announcer: Announcer;
	readonly log: RunLog;
	readonly handle: (req: IncomingMessage, res: ServerResponse, body: string) => void;
};

const drainPollMs = 50;

/** HTTP server of a stand-in target. On SIGTERM it announces that it leaves, finishes open requests and exits, at the earliest after `leaveMs`. */
export class TargetServer {
	readonly #options: TargetServerOptions;
	readonly #server: Server;
	#openRequests = 0;

	constructor(options: TargetServerOptions) {
		this.#options = options;
		this.#server = createServer((req, res) => {
			void this.#receive(req, res);
		});
	}

	start(): void {
		const {target, announcer, log} = this.#options;
		this.#server.listen(target.port, '127.0.0.1', () => {
			log.write({event: 'up'});
			announcer.start();
		});
		process.on('SIGTERM', () => {
			this.#leave();
		});
	}

	async #receive(req: IncomingMessage, res: ServerResponse): Promise<void> {
		this.#openRequests += 1;
		res.on('close', () => {
			this.#openRequests -= 1;
		});
		try {
			const chunks: Buffer[] = [];
			for await (const chunk of req) {
				chunks.push(chunk as Buffer);
			}

			const body = Buffer.concat(chunks).toString();
			// Lets a scenario set the crash text of a running target.
			if (req.url === '/test/crash-on') {
				this.#options.target.crashOn = body;
				res.end();
				return;
			}

			res.setHeader('lovageferry-attempt', req.headers['lovageferry-attempt'] ?? '');
			this.#options.handle(req, res, body);
		} catch {
			res.destroy();
		}
	}

	#leave(): void {
		const {target, announcer, log} = this.#options;
		const earliest = Date.now() + target.leaveMs;
		log.write({event: 'leaving'});
		announcer.leave();
		const timer = setInterval(() => {
			if (this.#openRequests > 0 || Date.now() < earliest) {
				return;
			}

			clearInterval(timer);
			announcer.stop();
			this.#server.close();
			this.#server.closeAllConnections();
		}, drainPollMs);
	}
}
