import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';
import type {Random} from '../../src/core/common/random.ts';
import type {PlannedRecord} from './planned-record.ts';
import {RefusedCallers} from './refused-callers.ts';
import type {RefusedSending} from './refused-sending.ts';
import {RequestLoop} from './request-loop.ts';
import type {SoakDeployment} from './soak-deployment.ts';
import type {SoakNode} from './soak-node.ts';
import {soakStreams} from './soak-streams.ts';
import {streamProblem} from './stream-problem.ts';

type SentRecord = PlannedRecord & {readonly refusedSendings: RefusedSending[]};

/** Share of the requests that are long streams; the others are orders. */
const streamShare = 0.6;
const orderTimeoutMs = 3000;
const callerTimeoutMs = 20_000;
/** Time for which callers stay away from an entry that refused a connection, in milliseconds. */
const avoidMs = 1000;
const streamHeaders = {'token-counts': '100,40', 'prompt-prefix': 'a1:60,b2:40', model: 'm'};

/** Callers of long streams and orders, who use their open connections to an entry until its process is gone. */
export class PlannedCallers {
	readonly records: PlannedRecord[] = [];
	readonly #deployment: SoakDeployment;
	readonly #random: Random;
	readonly #refused: RefusedCallers;
	readonly #agent = new Agent({
		connect: {timeout: 1000}, keepAliveTimeout: 10_000, headersTimeout: callerTimeoutMs, bodyTimeout: callerTimeoutMs,
	});

	/** Time of the last refused connection, by entry. */
	readonly #refusedAt = new Map<string, number>();
	readonly #loop = new RequestLoop(async () => this.#send());

	constructor(deployment: SoakDeployment, {random, refusedRandom}: {random: Random; refusedRandom: Random}) {
		this.#deployment = deployment;
		this.#random = random;
		this.#refused = new RefusedCallers(refusedRandom);
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
		const isStream = this.#random.next() < streamShare;
		const path = isStream ? this.#pick(soakStreams.paths)! : '/orders/';
		const node = this.#pickNode();
		if (node === undefined) {
			return;
		}

		const record: SentRecord = {
			id: `s-${this.records.length + 1}`, path, refusedSendings: [], entry: node.name, sentAt: performance.now(),
			budgetMs: isStream ? soakStreams.timeoutMs : orderTimeoutMs, outcome: 'broken', events: 0,
		};
		this.records.push(record);
		await this.#sendUntilNotRefused(record, node, isStream);
	}

	/** Sends a request, and an order again under its identifier while it is refused as not run and its caller doesn't give up. */
	async #sendUntilNotRefused(record: SentRecord, node: SoakNode, isStream: boolean): Promise<void> {
		const retryAfter = await this.#sendOnce(record, node, isStream);
		const {status, entry, sentAt, refusedSendings} = record;
		const next = isStream ? undefined : this.#refused.next({status, retryAfter, sendings: refusedSendings.length + 1});
		if (next === undefined) {
			return;
		}

		if (next.delayMs > 0) {
			await sleep(next.delayMs);
		}

		const nextNode = next.sameEntry && node.up ? node : this.#pickNode();
		if (nextNode === undefined) {
			return;
		}

		refusedSendings.push({entry, sentAt, status: status!});
		Object.assign(record, {
			entry: nextNode.name, sentAt: performance.now(), endedAt: undefined, outcome: 'broken', status: undefined,
		});
		await this.#sendUntilNotRefused(record, nextNode, isStream);
	}

	/** Sends a request once; gives the `Retry-After` of its answer. */
	async #sendOnce(record: SentRecord, node: SoakNode, isStream: boolean): Promise<string | undefined> {
		let retryAfter: string | undefined;
		try {
			retryAfter = await this.#exchange(record, node, isStream);
			record.outcome = 'answered';
		} catch (error) {
			const {code} = error as {code?: string};
			record.outcome = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' ? 'unreachable' : 'broken';
			if (record.outcome === 'unreachable') {
				this.#refusedAt.set(node.name, performance.now());
			}
		}

		record.endedAt = performance.now();
		return retryAfter;
	}

	async #exchange(record: SentRecord, node: SoakNode, isStream: boolean): Promise<string | undefined> {
		const res = await this.#agent.request({
			origin: `http://${node.address('callers')}`,
			path: `${record.path}1`,
			method: 'POST',
			headers: {
				host: 'prairie.example',
				'request-identifier': record.id,
				sending: String(record.refusedSendings.length + 1), 'deadline-milliseconds': String(record.budgetMs), ...isStream ? streamHeaders : {},
			},
			body: `order of ${record.id}`,
		});
		record.status = res.statusCode;
		let text = '';
		for await (const chunk of res.body) {
			text += String(chunk);
			record.events = text.split('\n\n').length - 1;
		}

		if (isStream && res.statusCode === 200) {
			record.problem = streamProblem(text, soakStreams.eventCount);
		}

		return res.headers['retry-after'] as string | undefined;
	}

	#pickNode(): SoakNode | undefined {
		return this.#pick(this.#deployment.entries.filter(({up, name}) => up && performance.now() - (this.#refusedAt.get(name) ?? 0) > avoidMs));
	}

	#pick<Item>(items: readonly Item[]): Item | undefined {
		return items[Math.floor(this.#random.next() * items.length)];
	}
}
