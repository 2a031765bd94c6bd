import type {EdgeAction} from '../../core/edge/edge-action.ts';
import type {EdgeEvent} from '../../core/edge/edge-event.ts';
import type {AttemptNumber} from '../../core/ids/attempt-number.ts';
import type {SoftwareVersion} from '../../core/ids/software-version.ts';
import type {Region} from '../../core/ids/region.ts';
import {canConnect} from '../can-connect.ts';
import {checkInterimStatus} from '../check-interim-status.ts';
import {ConnectError} from '../connect-error.ts';
import {ConnectionPool} from '../connection-pool.ts';
import type {PooledResponse} from '../pooled-response.ts';
import type {ProcessMemory} from '../process-memory.ts';
import {isMalformedAnswer} from '../is-malformed-answer.ts';
import {targetConnector} from '../target-connector.ts';
import type {CallerExchange} from './caller-exchange.ts';
import {relayHeader} from './relay-header.ts';
import type {RequestCodec} from './request-codec.ts';
import {TargetResponseReader} from './target-response-reader.ts';

type StartAction = EdgeAction & {type: 'start'};

/** Timeout for connecting to a target of this region, in milliseconds. */
const targetConnectMs = 500;
/** Timeout for connecting to an entry of a remote region, in milliseconds. */
const entryConnectMs = 1000;
/** Keep-alive timeout of connections to targets that send no keep-alive hint, in milliseconds. */
const defaultKeepAliveMs = 4000;
/** Upper bound on the keep-alive timeout that a target's hint may set, in milliseconds. */
const maxKeepAliveMs = 60_000;
/** Keep-alive timeout of the pool for requests that must not be reset on an idle connection, in milliseconds: targets drop idle connections after 300 ms at the earliest. */
const shortKeepAliveMs = 200;
/** Largest answer that is buffered before it is sent to the caller, in bytes. */
const maxBufferedBytes = 16_777_216;

type TargetClientOptions = {
	readonly region: Region;
	/** Addresses to connect to, by the address that another entry advertises, for example behind port forwarding. */
	readonly forwards: Readonly<Record<string, string>>;
	readonly codec: RequestCodec;
	/** Bounds on what the requests of the whole process hold. */
	readonly memory: ProcessMemory;
	readonly step: (event: EdgeEvent) => void;
};

type RunningAttempt = {
	readonly abortController: AbortController;
	readonly reader: TargetResponseReader;
	/** Set once the head of its answer has arrived. */
	answer?: PooledResponse;
};

/** HTTP client for targets and for entries of remote regions, with one connection pool for each kind of request. */
export class TargetClient {
	readonly #options: TargetClientOptions;
	readonly #running = new Map<AttemptNumber, RunningAttempt>();
	readonly #targets: ConnectionPool;
	/** Pool with the short keep-alive timeout, for attempts marked `fresh`: a connection that was idle for longer may have been dropped by the target. */
	readonly #shortKeepAliveTargets: ConnectionPool;
	readonly #entries = createPool({connectMs: entryConnectMs});

	constructor(options: TargetClientOptions) {
		this.#options = options;
		const {forwards, step} = options;
		const advertised = new Map(Object.entries(forwards).map(([address, forwarded]) => [forwarded, address]));
		const connection = {
			connectMs: targetConnectMs,
			onReset(address: string) {
				step({type: 'connection-reset', address: advertised.get(address) ?? address});
			},
		};
		this.#targets = createPool(connection);
		this.#shortKeepAliveTargets = createPool({...connection, keepAliveMs: shortKeepAliveMs, maxHintMs: shortKeepAliveMs});
	}

	/** Sends an attempt, unless its caller has left; its outcome is passed to the core as events. */
	start(action: StartAction, exchange: CallerExchange): void {
		const {codec, memory, step} = this.#options;
		const running: RunningAttempt = {
			abortController: new AbortController(),
			reader: new TargetResponseReader({
				action, exchange, codec, memory, step, maxBufferedBytes,
			}),
		};
		this.#running.set(action.attempt, running);
		void this.#run(action, exchange, running);
	}

	/** Aborts an attempt; nothing more of it is written to the caller. */
	cancel(attempt: AttemptNumber): void {
		const running = this.#running.get(attempt);
		this.#running.delete(attempt);
		running?.reader.stop();
		running?.abortController.abort();
		// An answer that has arrived whole is not aborted, but need not be the one to this attempt.
		running?.answer?.destroy();
	}

	/** Streams the attempt's answer to the caller from now on; an entry that forwarded the request is told the target's software version. */
	startStreaming(attempt: AttemptNumber, softwareVersion: SoftwareVersion | undefined): void {
		this.#running.get(attempt)?.reader.startStreaming(softwareVersion);
	}

	/** Ends the caller's stream, or sends the buffered answer. */
	complete(attempt: AttemptNumber): void {
		this.#running.get(attempt)?.reader.complete();
		this.#running.delete(attempt);
	}

	/** True if a connection to the target can be opened. */
	async canConnect(address: string): Promise<boolean> {
		return canConnect(this.#options.forwards[address] ?? address, targetConnectMs);
	}

	async close(): Promise<void> {
		await Promise.all([this.#targets, this.#shortKeepAliveTargets, this.#entries].map(async pool => pool.destroy()));
	}

	async #run(action: StartAction, exchange: CallerExchange, running: RunningAttempt): Promise<void> {
		const {step} = this.#options;
		const {attempt} = action;
		const {abortController, reader} = running;
		try {
			if (!await exchange.presence.confirm() || abortController.signal.aborted) {
				return;
			}

			const pool = action.targetId === undefined ? this.#entries : (action.fresh ? this.#shortKeepAliveTargets : this.#targets);
			running.answer = await pool.request({
				origin: `http://${this.#options.forwards[action.address] ?? action.address}`,
				requestKey: exchange.edgeRequest.callerKey,
				method: exchange.head.method,
				path: exchange.head.path,
				headers: this.#buildHeaders(action, exchange),
				body: exchange.body.length > 0 ? exchange.body : undefined,
				// The core decides on timeouts, since it knows the route's limits.
				headersTimeout: 0,
				bodyTimeout: 0,
				responseHeaders: 'raw',
				onInfo(info) {
					checkInterimStatus(info);
					if (action.targetId === undefined && info.statusCode === relayHeader.workingStatus) {
						step({type: 'attempt-working', attempt});
						exchange.reportWorking();
					}
				},
				signal: abortController.signal,
			});
			await reader.read(running.answer);
		} catch (error) {
			const {code = ''} = error as {code?: string};
			if (this.#running.has(attempt)) {
				const notSent = error instanceof ConnectError;
				step({type: 'attempt-failed', attempt, failure: {reason: notSent ? 'connect' : (isMalformedAnswer(code) ? 'malformed' : 'reset'), notSent}});
			}
		} finally {
			this.#running.delete(attempt);
		}
	}

	#buildHeaders(action: StartAction, exchange: CallerExchange): string[] {
		const {codec, region} = this.#options;
		const {deadlineMs, targetId, urgency, resumeAfter, documentVersion, service, origin, organisation, passesCredentials, isIdempotent = false} = action;
		const headers = codec.outgoingHeaders(exchange.head, {
			deadlineMs, targetId, urgency, resumeAfter, organisation, passesCredentials,
		});
		if (targetId === undefined) {
			headers.push(relayHeader.name, relayHeader.write({
				region, documentVersion, service, origin,
			}));
			if (isIdempotent) {
				headers.push(relayHeader.idempotentName, relayHeader.writeIdempotent());
			}

			if (organisation !== undefined) {
				headers.push(relayHeader.organisationName, relayHeader.writeOrganisation(organisation));
			}
		}

		return headers;
	}
}

type PoolOptions = {
	readonly connectMs: number;
	readonly onReset?: (address: string) => void;
	/** Keep-alive timeout of connections to targets that send no hint; a hint replaces it, up to `maxHintMs`. */
	readonly keepAliveMs?: number;
	readonly maxHintMs?: number;
};

/** Creates a connection pool. */
function createPool({connectMs, onReset, keepAliveMs: keepAliveTimeout = defaultKeepAliveMs, maxHintMs = maxKeepAliveMs}: PoolOptions): ConnectionPool {
	return new ConnectionPool({
		connect: targetConnector(connectMs, {onReset}),
		keepAliveTimeout,
		keepAliveMaxTimeout: maxHintMs,
		// Subtracted from a target's hint, in milliseconds, so that this side closes an idle connection first.
		keepAliveTimeoutThreshold: 1000,
	});
}
