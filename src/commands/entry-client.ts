import {request} from 'undici';
import type {ClientOptions} from './client-options.ts';
import {CommandError} from './command-error.ts';
import {exitCodes} from './exit-codes.ts';

const headersTimeoutMs = 15_000;
const unauthorized = 401;

type Answer = {readonly status: number; readonly body: unknown};

/** HTTP client of the operator API; tries the entries in order until one answers. */
export class EntryClient {
	readonly #options: ClientOptions;

	constructor(options: ClientOptions) {
		this.#options = options;
	}

	/** @throws CommandError if no entry answers or an entry rejects the operator key. */
	async call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<Answer> {
		const problems: string[] = [];
		for (const entry of this.#options.entries) {
			try {
				return await this.#callOne(entry, method, path, body); // eslint-disable-line no-await-in-loop
			} catch (error) {
				if (error instanceof CommandError) {
					throw error;
				}

				problems.push(`${entry}: ${(error as Error).message}`);
			}
		}

		throw new CommandError(`No entry answered: ${problems.join('; ')}. Name another entry with --entry.`, exitCodes.unavailable);
	}

	/** Sends a GET request and returns the body; any status other than 200 ends the command with a CommandError. */
	async get(path: string): Promise<unknown> {
		const {status, body} = await this.call('GET', path);
		if (status !== 200) {
			const {title, detail} = body as {title?: string; detail?: string};
			throw new CommandError(`${title ?? `Status ${status}`}${detail ? `: ${detail}` : ''}`, exitCodes.failed);
		}

		return body;
	}

	async #callOne(entry: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<Answer> {
		const res = await request(`http://${entry}${path}`, {
			method,
			headers: {authorization: `Bearer ${this.#options.key}`, 'content-type': 'application/json'},
			body: body === undefined ? undefined : JSON.stringify(body),
			headersTimeout: headersTimeoutMs,
		});
		const answer = await res.body.json();
		if (res.statusCode === unauthorized) {
			throw new CommandError(`${entry} does not know this operator key: name the file of a valid key with --key-file.`, exitCodes.failed);
		}

		return {status: res.statusCode, body: answer};
	}
}
