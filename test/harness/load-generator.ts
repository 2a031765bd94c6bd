import {setTimeout as delay} from 'node:timers/promises';
import {Agent} from 'undici';
import type {z} from 'zod';
import {answerToken} from '../fakes/answer-token.ts';
import {promptDigest} from '../fakes/prompt-digest.ts';
import {extractPrompt} from '../fakes/extract-prompt.ts';
import type {CallOutcome} from './call-outcome.ts';
import type {CallRecord} from './call-record.ts';
import type {loadSchema} from './load-schema.ts';
import {checkResponse} from './check-response.ts';

type Load = z.infer<typeof loadSchema>;
type Call = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly headers: Record<string, string>;
	readonly body?: string;
	/** Digest of the request in the targets' run logs. */
	readonly digest: string;
	/** Text or digest that a complete answer contains. */
	readonly expected: string;
	readonly key?: string;
};

const defaultRetryDelayMs = 300;
const maxRetryDelayMs = 2000;
/** Timeout for connecting to a node and for each phase of reading its list of entries. */
const entriesTimeoutMs = 1000;

type LoadGeneratorOptions = {
	readonly load: Load;
	readonly region: string;
	/** Services of the firm by kind of call. */
	readonly services: {readonly engine: string; readonly call: string};
	/** Nodes of the region, asked in turn for the list of entries. */
	readonly directory: readonly string[];
	/** `ip:port` of a node, bypassing the proxies between nodes. */
	readonly addressOf: (node: string) => string;
	readonly record: (record: CallRecord) => void;
};

/** Simulates the callers of one load in one region; each sends its requests sequentially and checks the answers. */
export class LoadGenerator {
	readonly #options: LoadGeneratorOptions;
	readonly #agent = new Agent({connections: 64, connect: {timeout: entriesTimeoutMs}});
	#roundRobinCounter = 0;

	constructor(options: LoadGeneratorOptions) {
		this.#options = options;
	}

	async run(): Promise<void> {
		const {load} = this.#options;
		await Promise.all(Array.from({length: load.callers}, async (_, caller) => this.#runCaller(caller)));
		await this.#agent.close();
	}

	async #runCaller(caller: number): Promise<void> {
		const {load} = this.#options;
		await delay(load.everyMs * caller / load.callers);
		for (let index = 0; index < load.requests; index++) {
			await this.#sendWithRetries(this.#makeCall(`${caller}-${index}`)); // eslint-disable-line no-await-in-loop
			await delay(load.everyMs); // eslint-disable-line no-await-in-loop
		}
	}

	/** Sends a request, and retries it at the next entry, until it is answered completely (or always, with `resendWhole`) or no resends are left. */
	async #sendWithRetries(call: Call): Promise<void> {
		const {load} = this.#options;
		for (let sending = 0; sending <= load.resends; sending++) {
			const answer = await this.#sendOnce(call, sending); // eslint-disable-line no-await-in-loop
			if (answer.outcome === 'whole' && !load.resendWhole) {
				return;
			}

			const retryDelayMs = answer.retryAfterMs ?? defaultRetryDelayMs;
			await delay(Math.min(retryDelayMs, maxRetryDelayMs)); // eslint-disable-line no-await-in-loop
		}
	}

	async #sendOnce(call: Call, sending: number): Promise<CallOutcome> {
		const {load, region, record} = this.#options;
		const entry = await this.#selectEntry();
		const sentAt = Date.now();
		const answer = await this.#exchange(entry, call);
		record({
			load: load.name,
			digest: call.digest,
			key: call.key,
			sending,
			region,
			organisation: `${region}-${load.organisation}`,
			entry,
			sentAt,
			endAt: Date.now(),
			...answer,
		});
		return answer;
	}

	async #exchange(entry: string, call: Call): Promise<CallOutcome> {
		const {load} = this.#options;
		const signal = AbortSignal.timeout(load.giveUpMs);
		try {
			const response = await this.#agent.request({
				origin: `http://${this.#options.addressOf(entry)}`, method: call.method, path: call.path, headers: call.headers, body: call.body, signal, headersTimeout: 0, bodyTimeout: 0,
			});
			const contentType = String(response.headers['content-type']);
			return checkResponse({status: response.statusCode, contentType, body: await response.body.text()}, call.expected);
		} catch (error) {
			if (signal.aborted) {
				return {outcome: load.giveUpMs < 60_000 ? 'gave-up' : 'hung'};
			}

			return {outcome: 'broken', detail: (error as Error).message};
		}
	}

	/** Picks an entry round-robin from the list of a node, preferably in this region; falls back to a node if none returns a list. */
	async #selectEntry(): Promise<string> {
		const {directory, region} = this.#options;
		this.#roundRobinCounter += 1;
		for (const offset of directory.keys()) {
			const node = directory[(this.#roundRobinCounter + offset) % directory.length]!;
			const listed = await this.#listEntries(node); // eslint-disable-line no-await-in-loop
			const own = listed.filter(entry => entry.region === region);
			const usable = own.length > 0 ? own : listed;
			if (usable.length > 0) {
				return usable[this.#roundRobinCounter % usable.length]!.node;
			}
		}

		return directory[this.#roundRobinCounter % directory.length]!;
	}

	async #listEntries(node: string): Promise<ReadonlyArray<{node: string; region: string}>> {
		try {
			const response = await this.#agent.request({
				origin: `http://${this.#options.addressOf(node)}`, method: 'GET', path: '/v1/entries', headersTimeout: entriesTimeoutMs, bodyTimeout: entriesTimeoutMs,
			});
			const list = await response.body.json() as {entries: Array<{node: string; region: string}>};
			return list.entries;
		} catch {
			return [];
		}
	}

	#makeCall(id: string): Call {
		const {load, region, services} = this.#options;
		const name = `${load.name}-${region}-${id}`;
		const headers: Record<string, string> = {authorization: `Bearer ${region}-${load.organisation}`, 'content-type': 'application/json'};
		if (load.deadlineMs !== undefined) {
			headers['lovageferry-deadline-ms'] = String(load.deadlineMs);
		}

		if (load.kind === 'draft' || load.kind === 'answer') {
			return this.#makeCompletion(name, {...headers, 'lovageferry-service': services.engine});
		}

		if (load.kind === 'status') {
			const path = `/status/${name}`;
			const digest = promptDigest(`${path}\n`);
			return {
				method: 'GET', path: `/s/${services.call}${path}`, headers, digest, expected: digest,
			};
		}

		const body = JSON.stringify({order: name, text: load.text});
		const digest = promptDigest(`/orders\n${body}`);
		return {
			method: 'POST', path: `/s/${services.call}/orders`, headers: {...headers, 'lovageferry-route': 'orders', 'idempotency-key': name}, body, digest, expected: digest, key: name,
		};
	}

	#makeCompletion(name: string, headers: Record<string, string>): Call {
		const {load} = this.#options;
		// A text that crashes targets is the same in every request, as if a caller kept retrying it.
		const subject = load.text === '' ? `Request ${name}. ` : load.text;
		const history = 'Check the layout of this notice against the bylaw. '.repeat(Math.ceil(load.promptCharacters / 50)).slice(0, load.promptCharacters);
		const messages = [{role: 'user', content: `${history}${subject}`}];
		const digest = promptDigest(extractPrompt({messages}));
		const expected = Array.from({length: load.tokens}, (_, index) => answerToken(digest, index)).join('');
		const body = JSON.stringify({
			model: 'layout-1', messages, stream: load.kind === 'draft', max_tokens: load.tokens,
		});
		return {
			method: 'POST', path: '/v1/chat/completions', headers, body, digest, expected,
		};
	}
}
