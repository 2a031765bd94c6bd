import {performance} from 'node:perf_hooks';
import {Agent} from 'undici';
import type {Random} from '../../src/core/common/random.ts';
import type {PlannedRecord} from './planned-record.ts';
import {RequestLoop} from './request-loop.ts';
import type {SoakDeployment} from './soak-deployment.ts';
import type {SoakNode} from './soak-node.ts';
import {soakStreams} from './soak-streams.ts';
import {streamProblem} from './stream-problem.ts';

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
	readonly #agent = new Agent({
		connect: {timeout: 1000}, keepAliveTimeout: 10_000, headersTimeout: callerTimeoutMs, bodyTimeout: callerTimeoutMs,
	});

	/** Time of the last refused connection, by entry. */
	readonly #refusedAt = new Map<string, number>();
	readonly #loop = new RequestLoop(async () => this.#send());

	constructor(deployment: SoakDeployment, random: Random) {
		this.#deployment = deployment;
		this.#random = random;
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
		const node = this.#pick(this.#deployment.entries.filter(({up, name}) => up && performance.now() - (this.#refusedAt.get(name) ?? 0) > avoidMs));
		if (node === undefined) {
			return;
		}

		const record: PlannedRecord = {
			id: `s-${this.records.length + 1}`, path, entry: node.name, sentAt: performance.now(), budgetMs: isStream ? soakStreams.timeoutMs : orderTimeoutMs, outcome: 'broken', events: 0,
		};
		this.records.push(record);
		try {
			await this.#exchange(record, node, isStream);
			record.outcome = 'answered';
		} catch (error) {
			const {code} = error as {code?: string};
			record.outcome = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' ? 'unreachable' : 'broken';
			if (record.outcome === 'unreachable') {
				this.#refusedAt.set(node.name, performance.now());
			}
		}

		record.endedAt = performance.now();
	}

	async #exchange(record: PlannedRecord, node: SoakNode, isStream: boolean): Promise<void> {
		const res = await this.#agent.request({
			origin: `http://${node.address('callers')}`,
			path: `${record.path}1`,
			method: 'POST',
			headers: {
				host: 'prairie.example', 'request-identifier': record.id, 'deadline-milliseconds': String(record.budgetMs), ...isStream ? streamHeaders : {},
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
	}

	#pick<Item>(items: readonly Item[]): Item | undefined {
		return items[Math.floor(this.#random.next() * items.length)];
	}
}
