import type {IncomingMessage, ServerResponse} from 'node:http';
import process from 'node:process';
import {promptDigest} from './prompt-digest.ts';
import type {RunLog} from './run-log.ts';
import type {TargetOptions} from './target-options.ts';

type ServiceHandlerOptions = {
	readonly log: RunLog;
	/** Processing time of one call, in milliseconds. */
	readonly delayMs: number;
	readonly target: TargetOptions;
	/** For bodies that contain this text, the connection is closed after the run instead of an answer being sent. */
	readonly dropAnswerOn?: string;
};

/** Handles the HTTP requests of a stand-in plain service and counts the runs per idempotency key. */
export class ServiceHandler {
	running = 0;
	readonly #options: ServiceHandlerOptions;
	readonly #runs = new Map<string, number>();

	constructor(options: ServiceHandlerOptions) {
		this.#options = options;
	}

	handle(req: IncomingMessage, res: ServerResponse, body: string): void {
		const path = callPath(req.url ?? '/');
		const run = {
			attempt: String(req.headers['lovageferry-attempt'] ?? ''),
			key: req.headers['idempotency-key']?.toString(),
			digest: promptDigest(`${path}\n${body}`),
			path,
		};
		this.#options.log.write({event: 'start', ...run});
		if (path.startsWith('/status/')) {
			this.#answer(res, run, {status: 'known', runs: this.#runs.get(path.slice('/status/'.length)) ?? 0});
			return;
		}

		this.#runCall(res, run, body);
	}

	#runCall(res: ServerResponse, run: {attempt: string; key?: string; digest: string}, body: string): void {
		const {target: {crashOn}, dropAnswerOn, delayMs, log} = this.#options;
		const runs = (this.#runs.get(run.key ?? '') ?? 0) + 1;
		this.#runs.set(run.key ?? '', runs);
		if (crashOn !== undefined && body.includes(crashOn)) {
			log.write({event: 'crash', ...run});
			process.kill(process.pid, 'SIGKILL');
		}

		this.running += 1;
		setTimeout(() => {
			this.running -= 1;
			if (dropAnswerOn !== undefined && body.includes(dropAnswerOn)) {
				res.destroy();
				return;
			}

			this.#answer(res, run, {runs});
		}, delayMs);
	}

	#answer(res: ServerResponse, run: {attempt: string; key?: string; digest: string}, content: Record<string, unknown>): void {
		if (res.destroyed) {
			this.#options.log.write({event: 'cancel', ...run});
			return;
		}

		this.#options.log.write({event: 'whole', ...run});
		const text = JSON.stringify({key: run.key, digest: run.digest, ...content});
		res.writeHead(200, {'content-type': 'application/json', 'content-length': String(text.length)}).end(text);
	}
}

/** Returns the path of a call within its service, without the prefix `/s/<service>` that a gateway may leave in place. */
function callPath(url: string): string {
	if (!url.startsWith('/s/')) {
		return url;
	}

	return url.slice(url.indexOf('/', '/s/'.length));
}
