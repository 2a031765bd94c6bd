import type {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';
import type {Random} from '../../src/core/common/random.ts';
import {RefusedCallers} from './refused-callers.ts';
import {RequestLoop} from './request-loop.ts';
import type {SoakDeployment} from './soak-deployment.ts';
import type {SoakNode} from './soak-node.ts';
import type {SoakRecord} from './soak-record.ts';
import {streamProblem} from './stream-problem.ts';

const streamHeaders = {'token-counts': '100,48', 'prompt-prefix': 'a1:60,b2:40', model: 'm'};
const kinds = [
	{name: 'call', path: '/calls/1', headers: {}},
	{name: 'order', path: '/orders/1', headers: {}},
	{name: 'draft', path: '/drafts/1', headers: streamHeaders},
	{name: 'note', path: '/notes/1', headers: streamHeaders},
] as const;

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
	readonly #refused: RefusedCallers;
	#requestCount = 0;

	constructor(deployment: SoakDeployment, {random, refusedRandom, now}: {random: Random; refusedRandom: Random; now: () => number}) {
		this.#deployment = deployment;
		this.#random = random;
		this.#refused = new RefusedCallers(refusedRandom);
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
		this.#requestCount += 1;
		const record: SoakRecord = {
			id: `r-${this.#requestCount}`, kind: kind.name, refusedSendings: [], ...this.#sendingTo(this.#pickEntry()),
		};
		await this.#sendUntilNotRefused(record, kind);
		await this.#resume(record, kind);

		record.endAt = this.#now();
		this.records.push(record);
	}

	/** Sends a request under its identifier until it is not refused as not run, or its caller gives up. */
	async #sendUntilNotRefused(record: SoakRecord, kind: typeof kinds[number]): Promise<void> {
		const retryAfter = await this.#sendOnce(record, kind);
		const {status, sentAt, entry} = record;
		const next = this.#refused.next({status, retryAfter, sendings: record.refusedSendings.length + 1});
		if (next === undefined) {
			return;
		}

		if (next.delayMs > 0) {
			await sleep(next.delayMs);
		}

		record.refusedSendings.push({entry: entry.name, sentAt, status: status!});
		Object.assign(record, this.#sendingTo(next.sameEntry ? entry : this.#pickEntry(entry)));
		await this.#sendUntilNotRefused(record, kind);
	}

	#pickEntry(except?: SoakNode): SoakNode {
		const entries = this.#deployment.entries.filter(entry => entry !== except);
		return entries[Math.floor(this.#random.next() * entries.length)]!;
	}

	/** What a record says of a sending that begins now. */
	#sendingTo(entry: SoakNode) {
		const now = this.#now();
		return {
			entry, sentAt: now, endAt: now, outcome: 'unreachable' as SoakRecord['outcome'], status: undefined,
			withoutRecentFault: [entry, ...this.#deployment.control].every(node => node.isCalm(now, stabilityWindowMs)),
		};
	}

	/** Sends a request once; gives the `Retry-After` of its answer. */
	async #sendOnce(record: SoakRecord, kind: typeof kinds[number]): Promise<string | undefined> {
		try {
			return await this.#exchange(record, kind);
		} catch (error) {
			const {code} = error as {code?: string};
			record.outcome = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' ? 'unreachable' : 'broken';
			record.status = undefined;
			return undefined;
		}
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

	async #exchange(record: SoakRecord, kind: typeof kinds[number]): Promise<string | undefined> {
		const res = await this.#agent.request({
			origin: `http://${record.entry.address('callers')}`,
			path: kind.path,
			method: 'POST',
			headers: {
				host: 'prairie.example', 'request-identifier': record.id, sending: String(record.refusedSendings.length + 1), 'deadline-milliseconds': '5000', ...kind.headers,
			},
			body: `order of ${record.id}`,
		});
		const text = await this.#readBody(record, res.body);
		record.status = res.statusCode;
		record.outcome = res.statusCode === 200 ? 'served' : (notRunStatuses.has(res.statusCode) ? 'refused' : 'failed');
		if (res.statusCode !== 200) {
			return res.headers['retry-after'] as string | undefined;
		}

		const target = String(res.headers['server-signature']).replace(/\.sig$/v, '');
		const problem = kind.name === 'draft' || kind.name === 'note' ? streamProblem(text) : (text === `answer of ${target}` ? undefined : `unexpected body ${JSON.stringify(text.slice(0, 120))}`);
		if (problem !== undefined) {
			record.problem = `${kind.name} ${record.id} at ${record.entry.name} got status 200: ${problem}`;
		} else if (res.headers['request-identifier'] !== record.id) {
			record.problem = `${kind.name} ${record.id} got the answer to ${String(res.headers['request-identifier'])}`;
		}

		return undefined;
	}
}
