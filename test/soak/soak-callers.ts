import type {Buffer} from 'node:buffer';
import {Agent} from 'undici';
import type {Random} from '../../src/core/common/random.ts';
import {RequestLoop} from './request-loop.ts';
import type {SoakDeployment} from './soak-deployment.ts';
import type {SoakNode} from './soak-node.ts';
import {streamProblem} from './stream-problem.ts';

const kinds = [
	{name: 'call', path: '/calls/1', headers: {}},
	{name: 'order', path: '/orders/1', headers: {}},
	{name: 'draft', path: '/drafts/1', headers: {'token-counts': '100,48', 'prompt-prefix': 'a1:60,b2:40', model: 'm'}},
] as const;

/** Outcome of one request, as its caller saw it. Times are milliseconds since the start of the run. */
type SoakRecord = {
	readonly id: string;
	readonly kind: typeof kinds[number]['name'];
	readonly entry: SoakNode;
	/** Identifier of the request with which the caller took up its stream after it broke off. */
	resumedBy?: string;
	/** True if that request brought the rest of the stream. */
	resumed?: boolean;
	readonly sentAt: number;
	/** True if, when the request was sent, no fault had affected its entry or any control node within the stability window. */
	readonly withoutRecentFault: boolean;
	endAt: number;
	/**
	 * `refused`: a status that says that the request has not run; `failed`: any other status than 200;
	 * `broken`: the connection ended before the answer was complete; `unreachable`: no connection to the entry.
	 */
	outcome: 'served' | 'refused' | 'failed' | 'broken' | 'unreachable';
	status?: number;
	/** Message of a violation, if the answer is not the one to this request. */
	problem?: string;
};

/** Statuses by which an entry states that the request has not run. */
const notRunStatuses = new Set([404, 408, 413, 421, 429, 431, 503]);
/** Time without data after which a caller disconnects, in milliseconds; longer than the routes' timeout of 3 s. */
const callerTimeoutMs = 6000;
/** Time without a fault after which a process counts as stable, in milliseconds; it equals the stability window of the first deployments. */
const stabilityWindowMs = 6000;

/** Simulates callers that send requests to random entries at a constant rate over keep-alive connections. */
export class SoakCallers {
	readonly records: SoakRecord[] = [];
	/** Whole events of streams that broke off, by the identifier of the request. */
	readonly #passedEvents = new Map<string, string>();
	readonly #deployment: SoakDeployment;
	readonly #random: Random;
	readonly #now: () => number;
	readonly #agent = new Agent({
		connect: {timeout: 1000}, keepAliveTimeout: 10_000, headersTimeout: callerTimeoutMs, bodyTimeout: callerTimeoutMs,
	});

	readonly #loop = new RequestLoop(async () => this.#send());
	#requestCount = 0;

	constructor(deployment: SoakDeployment, {random, now}: {random: Random; now: () => number}) {
		this.#deployment = deployment;
		this.#random = random;
		this.#now = now;
	}

	start(perSecond: number): void {
		this.#loop.start(perSecond);
	}

	/** Stops sending and waits for the requests in flight. */
	async finish(): Promise<void> {
		await this.#loop.finish();
		await this.#agent.close();
	}

	async #send(): Promise<void> {
		const kind = kinds[Math.floor(this.#random.next() * kinds.length)]!;
		const {entries, control} = this.#deployment;
		const entry = entries[Math.floor(this.#random.next() * entries.length)]!;
		this.#requestCount += 1;
		const now = this.#now();
		const record: SoakRecord = {
			id: `r-${this.#requestCount}`, kind: kind.name, entry, sentAt: now, endAt: now, outcome: 'unreachable',
			withoutRecentFault: [entry, ...control].every(node => node.isCalm(now, stabilityWindowMs)),
		};
		try {
			await this.#exchange(record, kind);
		} catch (error) {
			const {code} = error as {code?: string};
			record.outcome = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' ? 'unreachable' : 'broken';
		}

		await this.#resume(record, kind);

		record.endAt = this.#now();
		this.records.push(record);
	}

	/** Reads a body; if it breaks off, its whole events are kept for the request that takes the stream up. */
	async #readBody(record: SoakRecord, body: AsyncIterable<Buffer>): Promise<string> {
		let text = '';
		try {
			for await (const chunk of body) {
				text += chunk.toString('utf8');
			}
		} catch (error) {
			const end = text.lastIndexOf('\n\n');
			if (record.kind === 'draft' && end !== -1) {
				this.#passedEvents.set(record.id, text.slice(0, end + 2));
			}

			throw error;
		}

		return text;
	}

	/** Takes up a stream that broke off after an event, once, at any entry. */
	async #resume(record: SoakRecord, kind: typeof kinds[number]): Promise<void> {
		const passed = this.#passedEvents.get(record.id);
		this.#passedEvents.delete(record.id);
		if (record.outcome !== 'broken' || passed === undefined) {
			return;
		}

		const {entries} = this.#deployment;
		const entry = entries[Math.floor(this.#random.next() * entries.length)]!;
		record.resumedBy = `${record.id}-again`;
		const last = passed.split('\n\n').length - 1;
		try {
			const res = await this.#agent.request({
				origin: `http://${entry.address('callers')}`,
				path: kind.path,
				method: 'POST',
				headers: {
					host: 'prairie.example', 'request-identifier': record.resumedBy, resumes: record.id, 'last-event-id': String(last), 'deadline-milliseconds': '5000', ...kind.headers,
				},
				body: `order of ${record.id}`,
			});
			const text = await res.body.text();
			if (res.statusCode === 200) {
				record.resumed = true;
				record.problem = streamProblem(passed + text) && `${kind.name} ${record.id} went on at ${entry.name}: ${streamProblem(passed + text)}`;
			}
		} catch {
			// The connection broke again; the record stays `broken`.
		}
	}

	async #exchange(record: SoakRecord, kind: typeof kinds[number]): Promise<void> {
		const res = await this.#agent.request({
			origin: `http://${record.entry.address('callers')}`,
			path: kind.path,
			method: 'POST',
			headers: {
				host: 'prairie.example', 'request-identifier': record.id, 'deadline-milliseconds': '5000', ...kind.headers,
			},
			body: `order of ${record.id}`,
		});
		const text = await this.#readBody(record, res.body);
		record.status = res.statusCode;
		record.outcome = res.statusCode === 200 ? 'served' : (notRunStatuses.has(res.statusCode) ? 'refused' : 'failed');
		if (res.statusCode !== 200) {
			return;
		}

		const target = String(res.headers['server-signature']).replace(/\.sig$/v, '');
		const problem = kind.name === 'draft' ? streamProblem(text) : (text === `answer of ${target}` ? undefined : `unexpected body ${JSON.stringify(text.slice(0, 120))}`);
		if (problem !== undefined) {
			record.problem = `${kind.name} ${record.id} at ${record.entry.name} got status 200: ${problem}`;
		} else if (res.headers['request-identifier'] !== record.id) {
			record.problem = `${kind.name} ${record.id} got the answer to ${String(res.headers['request-identifier'])}`;
		}
	}
}
