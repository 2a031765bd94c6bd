import type {IncomingMessage, ServerResponse} from 'node:http';
import {toId} from '../core/ids/to-id.ts';
import type {RequestId} from '../core/ids/request-id.ts';
import type {Zone} from '../core/ids/zone.ts';
import type {Refusal} from '../core/results/refusal.ts';
import {constants} from '../settings/constants.ts';
import {bearerKey} from './bearer-key.ts';
import type {CallerRequest} from './caller-request.ts';
import type {CoreRunner} from './core-runner.ts';
import type {GatewayNode} from './gateway-node.ts';
import type {Metrics} from './metrics.ts';
import {makeProblem} from './make-problem.ts';
import {RequestError} from './request-error.ts';
import type {RequestReader} from './request-reader.ts';
import {sendJson} from './send-json.ts';
import {sendProblem} from './send-problem.ts';
import {sha256} from './sha256.ts';

const notReadyRetryAfterMs = 1000;
/** Retry delay of a request that the process has no memory for, in milliseconds. */
const overloadRetryAfterMs = 1000;
const servicePrefix = '/s/';

type CallerApiOptions = {
	readonly node: GatewayNode;
	readonly region: string;
	readonly runner: CoreRunner;
	readonly reader: RequestReader;
	readonly metrics: Metrics;
	/** Open requests by id, shared with the action performer. */
	readonly requests: Map<RequestId, CallerRequest>;
};

/** HTTP handlers for callers: completions, plain services and the list of entries. */
export class CallerApi {
	readonly #options: CallerApiOptions;

	constructor(options: CallerApiOptions) {
		this.#options = options;
	}

	async completion(req: IncomingMessage, res: ServerResponse): Promise<void> {
		await this.#serve(req, res, {targetPath: '/v1/chat/completions'});
	}

	async service(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
		const rest = url.pathname.slice(servicePrefix.length);
		const slash = rest.indexOf('/');
		const service = slash === -1 ? rest : rest.slice(0, slash);
		const targetPath = (slash === -1 ? '/' : rest.slice(slash)) + url.search;
		await this.#serve(req, res, {service, targetPath});
	}

	/** Lists the entries that callers may use. A key is optional; with one, the list is for the key's residency and path in the tree. */
	entries(req: IncomingMessage, res: ServerResponse, url: URL): void {
		const {node, runner} = this.#options;
		const caller = node.tree.callerKey(sha256(bearerKey(req)));
		const zone = url.searchParams.get('zone');
		sendJson(res, {
			ttlMs: constants.entriesTtlMs,
			entries: node.entries({zone: zone ? toId<Zone>(zone) : undefined, path: caller?.path, residency: caller?.key.residency}, runner.now()),
		});
	}

	/** Refuses a request that was not read any further, for which the process has no memory. */
	refuseOverloaded(res: ServerResponse): void {
		res.setHeader('connection', 'close');
		this.#refuse(res, {
			result: 'overloaded', ran: 'no', retryAfterMs: overloadRetryAfterMs, detail: 'The requests in progress take too much memory.',
		});
	}

	async #serve(req: IncomingMessage, res: ServerResponse, destination: {service?: string; targetPath: string}): Promise<void> {
		const {node, runner, reader, requests} = this.#options;
		if (!node.ready(runner.now())) {
			this.#refuse(res, {
				result: 'notReady', ran: 'no', retryAfterMs: notReadyRetryAfterMs, detail: 'The entry has no settings yet; use another one.',
			});
			return;
		}

		let request: CallerRequest;
		try {
			request = await reader.read(req, res, destination);
		} catch (error) {
			if (error instanceof RequestError) {
				this.#refuse(res, error.refusal);
				return;
			}

			throw error;
		}

		if (!await request.presence.confirm()) {
			return;
		}

		const {requestId} = request.info;
		requests.set(requestId, request);
		request.presence.onceEnded(left => {
			requests.delete(requestId);
			if (left) {
				runner.step({type: 'caller-gone', requestId});
			}
		});
		request.presence.whileConfirmed(() => {
			runner.step({type: 'request', req: request.info});
		});
	}

	#refuse(res: ServerResponse, refusal: Refusal): void {
		const {node, region, metrics} = this.#options;
		// An earlier request with the same idempotency key may have run; only the ledger in the core knows.
		const ran = res.req.headers['idempotency-key'] === undefined ? refusal.ran : 'maybe';
		metrics.count('refusals', refusal.result);
		if (refusal.result === 'slowCaller') {
			res.setHeader('connection', 'close');
		}

		// The rest of the body is read and discarded: closing the connection at once would reset it before the caller reads the refusal.
		res.req.resume();
		sendProblem(res, makeProblem({...refusal, ran}, {region, revision: node.tree.revision}));
	}
}
