import {Agent} from 'undici';
import type {EdgeAction} from '../../core/edge/edge-action.ts';
import type {EdgeEvent} from '../../core/edge/edge-event.ts';
import type {AttemptNumber} from '../../core/ids/attempt-number.ts';
import type {Region} from '../../core/ids/region.ts';
import type {CallerExchange} from './caller-exchange.ts';
import {relayHeader} from './relay-header.ts';
import type {RequestCodec} from './request-codec.ts';
import {TargetResponseReader} from './target-response-reader.ts';
import {targetConnector} from './target-connector.ts';

type StartAction = EdgeAction & {type: 'start'};

/** Time to connect to a target of the own region, in milliseconds. */
const targetConnectMs = 500;
/** Time to connect to an entry of another region, in milliseconds. */
const entryConnectMs = 1000;
/** Time after which an idle connection to a target is closed, in milliseconds, where the target names none. */
const defaultIdleMs = 4000;
/** Longest rest that a target may name, in milliseconds. */
const maxIdleMs = 60_000;
/** The same for connections of requests that must not be reset on one that has rested, in milliseconds; targets forget them after 300 ms and more. */
const shortIdleMs = 200;
/** Answers that are read whole before they are passed on, in bytes. */
const maxBufferedBytes = 16_777_216;

/** Codes of errors that come up before a connection stands: no byte of the request can have left. */
const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);

type TargetClientOptions = {
	readonly region: Region;
	/** Addresses to connect to instead of those that other entries give. */
	readonly forwards: Readonly<Record<string, string>>;
	readonly codec: RequestCodec;
	readonly step: (event: EdgeEvent) => void;
};

type RunningAttempt = {readonly abort: AbortController; readonly reader: TargetResponseReader};

/** Sends requests to targets and to entries of other regions, over connections that are kept. */
export class TargetClient {
	readonly #options: TargetClientOptions;
	readonly #running = new Map<AttemptNumber, RunningAttempt>();
	readonly #targets = createAgent({connectMs: targetConnectMs});
	/** Connections to targets that hardly rest between two requests. */
	readonly #shortIdleTargets = createAgent({connectMs: targetConnectMs, idleMs: shortIdleMs, mostIdleMs: shortIdleMs});
	readonly #entries = createAgent({connectMs: entryConnectMs});

	constructor(options: TargetClientOptions) {
		this.#options = options;
	}

	start(action: StartAction, exchange: CallerExchange): void {
		exchange.owner = action.attempt;
		const {codec, step} = this.#options;
		const running = {
			abort: new AbortController(),
			reader: new TargetResponseReader({
				action, exchange, codec, step, maxBufferedBytes,
			}),
		};
		this.#running.set(action.attempt, running);
		void this.#run(action, exchange, running);
	}

	cancel(attempt: AttemptNumber): void {
		const running = this.#running.get(attempt);
		this.#running.delete(attempt);
		running?.reader.stop();
		running?.abort.abort();
	}

	pass(attempt: AttemptNumber): void {
		this.#running.get(attempt)?.reader.pass();
	}

	complete(attempt: AttemptNumber): void {
		this.#running.get(attempt)?.reader.complete();
		this.#running.delete(attempt);
	}

	async close(): Promise<void> {
		await Promise.all([this.#targets, this.#shortIdleTargets, this.#entries].map(async client => client.destroy()));
	}

	async #run(action: StartAction, exchange: CallerExchange, {abort, reader}: RunningAttempt): Promise<void> {
		const {step} = this.#options;
		const {attempt} = action;
		try {
			const client = action.targetId === undefined ? this.#entries : (action.fresh ? this.#shortIdleTargets : this.#targets);
			const res = await client.request({
				origin: `http://${this.#options.forwards[action.address] ?? action.address}`,
				method: exchange.head.method,
				path: exchange.head.path,
				headers: this.#buildHeaders(action, exchange),
				body: exchange.body.length > 0 ? exchange.body : undefined,
				// Silence is judged by the core, which knows the route's bounds.
				headersTimeout: 0,
				bodyTimeout: 0,
				responseHeaders: 'raw',
				signal: abort.signal,
			});
			await reader.read(res);
		} catch (error) {
			const {code = ''} = error as {code?: string};
			if (this.#running.has(attempt)) {
				const notSent = connectErrorCodes.has(code);
				step({type: 'attempt-failed', attempt, failure: {reason: notSent ? 'connect' : (code.startsWith('HPE') ? 'malformed' : 'reset'), notSent}});
			}
		} finally {
			this.#running.delete(attempt);
		}
	}

	#buildHeaders(action: StartAction, exchange: CallerExchange): string[] {
		const {codec, region} = this.#options;
		const {deadlineMs, targetId, urgency, resumeAfter, documentVersion} = action;
		const headers = codec.outgoingHeaders(exchange.head, {
			deadlineMs, targetId, urgency, resumeAfter,
		});
		if (targetId === undefined) {
			headers.push(relayHeader.name, relayHeader.write(region, documentVersion));
		}

		return headers;
	}
}

/** Connections that are closed after a rest; a target's own hint may make it longer, up to `mostIdleMs`. */
function createAgent({connectMs, idleMs: keepAliveTimeout = defaultIdleMs, mostIdleMs = maxIdleMs}: {connectMs: number; idleMs?: number; mostIdleMs?: number}): Agent {
	return new Agent({
		connect: targetConnector(connectMs),
		pipelining: 1,
		keepAliveTimeout,
		keepAliveMaxTimeout: mostIdleMs,
		keepAliveTimeoutThreshold: 1000,
	});
}
