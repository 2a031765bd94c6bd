import {Buffer} from 'node:buffer';
import type {Action} from '../core/actions.ts';
import type {ConnectionUse} from '../core/common/connection-use.ts';
import type {CoreEvent} from '../core/events.ts';
import type {AttemptId} from '../core/ids/attempt-id.ts';
import {constants} from '../settings/constants.ts';
import {AttemptResponseReader} from './attempt-response-reader.ts';
import type {ProcessMemory} from './process-memory.ts';
import {attemptFailure} from './attempt-failure.ts';
import type {CallerRequest} from './caller-request.ts';
import {buildAttemptRequest} from './build-attempt-request.ts';
import type {PeerToken} from './peer-token.ts';
import {checkInterimStatus} from './check-interim-status.ts';
import {ConnectionPool} from './connection-pool.ts';
import {targetConnector} from './target-connector.ts';

type StartAttempt = Extract<Action, {type: 'start-attempt'}>;

type AttemptClientOptions = {
	readonly self: {readonly nodeId: string; readonly region: string};
	readonly token: PeerToken;
	/** Bounds on what the requests of the whole process hold. */
	readonly memory: ProcessMemory;
	readonly step: (event: CoreEvent) => void;
};

/** HTTP client for attempts: sends a request to a target or another entry and relays the response to the caller. */
export class AttemptClient {
	readonly #options: AttemptClientOptions;
	readonly #abortControllers = new Map<AttemptId, AbortController>();
	readonly #connections = new ConnectionPool({
		connect: targetConnector(constants.connectTimeoutMs),
		keepAliveTimeout: 4000,
	});

	constructor(options: AttemptClientOptions) {
		this.#options = options;
	}

	/** Starts an attempt, which fails as not sent if its caller has left; its progress and its outcome are reported as core events. */
	start(action: StartAttempt, request: CallerRequest): void {
		if (!action.standby) {
			request.handOver(action.attemptId, {resume: action.resume});
		}

		void this.#run(action, request);
	}

	/** Aborts an attempt. Its connection is closed, which cancels the work at the target; no failure is reported. */
	cancel(attemptId: AttemptId): void {
		this.#abortControllers.get(attemptId)?.abort();
		this.#abortControllers.delete(attemptId);
	}

	async close(): Promise<void> {
		await this.#connections.close();
	}

	async #run(action: StartAttempt, request: CallerRequest): Promise<void> {
		const abort = new AbortController();
		this.#abortControllers.set(action.attemptId, abort);
		const {memory, step} = this.#options;
		const reader = new AttemptResponseReader({
			action, request, step, memory,
		});
		let use: ConnectionUse | undefined;
		try {
			const isPresent = await request.presence.confirm();
			if (abort.signal.aborted) {
				return;
			}

			if (!isPresent) {
				this.#options.step({
					type: 'attempt-failed',
					attemptId: action.attemptId,
					failure: {
						reason: 'connect', notSent: true, passedOn: false, tokens: 0,
					},
				});
				return;
			}

			const answer = await this.#connections.request(this.#requestOptions(action, request, abort.signal));
			use = answer.use;
			await reader.read(answer);
		} catch (error) {
			if (!abort.signal.aborted && !reader.ended) {
				this.#options.step({type: 'attempt-failed', attemptId: action.attemptId, failure: attemptFailure(error, reader, use)});
			}
		} finally {
			this.#abortControllers.delete(action.attemptId);
			reader.close();
		}
	}

	#requestOptions(action: StartAttempt, request: CallerRequest, signal: AbortSignal): Parameters<ConnectionPool['request']>[0] {
		const outgoing = buildAttemptRequest(action, request, this.#options);
		return {
			origin: `http://${action.address}`,
			requestKey: action.attemptId,
			method: request.method,
			path: outgoing.path,
			headers: outgoing.headers,
			body: request.method === 'GET' || request.method === 'HEAD' ? undefined : Buffer.from(outgoing.body),
			headersTimeout: action.firstByteMs,
			bodyTimeout: action.silenceMs,
			onInfo: checkInterimStatus,
			signal,
		};
	}
}
