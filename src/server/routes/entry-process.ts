import {setTimeout as sleep} from 'node:timers/promises';
import {EdgeCore} from '../../core/edge/edge-core.ts';
import type {EdgeAction} from '../../core/edge/edge-action.ts';
import type {EdgeEvent} from '../../core/edge/edge-event.ts';
import type {RequestId} from '../../core/ids/request-id.ts';
import {toId} from '../../core/ids/to-id.ts';
import type {SharedAction} from '../../core/shared-action.ts';
import type {RoutesSettings} from '../../settings/routes-settings.ts';
import {pendingReads} from '../pending-reads.ts';
import {ProcessMemory} from '../process-memory.ts';
import {SystemSeededRandom} from '../system-seeded-random.ts';
import type {EventLog} from '../event-log.ts';
import {exportStateGauges} from '../export-state-gauges.ts';
import type {CallerExchange} from './caller-exchange.ts';
import {CoreHost} from './core-host.ts';
import type {PlatformAdapter} from './platform-adapter.ts';
import {HttpServer} from './http-server.ts';
import {MetricsServer} from './metrics-server.ts';
import {relayHeader} from './relay-header.ts';
import {RequestServer} from './request-server.ts';
import type {RoutesProcess} from './routes-process.ts';
import type {TargetClient} from './target-client.ts';

/** Time after the stop signal during which new requests are accepted, in milliseconds, but at most a third of the grace period: callers may still use an older list of entries. */
const acceptWhileDrainingMs = 2500;
/** Part of the grace period that is reserved for closing servers and connections, in milliseconds. */
const closeMarginMs = 300;
/** Time before the connections are closed by which each request has its final answer, in milliseconds: the answers have to reach their callers. */
const answerMarginMs = 400;

/** Core actions that are specific to an entry. */
type EntryProcessAction = Exclude<EdgeAction, SharedAction>;

type EntryProcessOptions = {
	readonly settings: RoutesSettings;
	readonly adapter: PlatformAdapter;
	readonly log: EventLog;
};

/** The process of an entry: accepts callers' requests and sends them to targets or to remote regions. */
export class EntryProcess implements RoutesProcess {
	readonly #options: EntryProcessOptions;
	readonly #exchanges = new Map<RequestId, CallerExchange>();
	readonly #memory: ProcessMemory;
	readonly #core: EdgeCore;
	readonly #host: CoreHost<EdgeEvent, EntryProcessAction>;
	/** Undefined until `open` has loaded it; the core starts no attempt before it knows routes. */
	#client: TargetClient | undefined;
	readonly #requestServers: readonly RequestServer[];
	readonly #statusServers: readonly HttpServer[];
	#resolveDrained: (() => void) | undefined;

	constructor(options: EntryProcessOptions) {
		const {settings, adapter, log} = options;
		this.#options = options;
		const {nodeId, region, zone, listen, seeds, repeats, cores, reportEveryMs, maxTargetPauseMs, quotas} = settings;
		this.#memory = new ProcessMemory({
			memoryMb: settings.memoryMb,
			descriptors: settings.descriptors,
			stateKinds: ['prompt-parts', 'stream-origins', 'served-traits'],
			onTurnedAway: kind => {
				this.#host.metrics.count('clients_turned_away', kind);
			},
		});
		this.#core = new EdgeCore({
			self: {
				nodeId,
				region: toId(region),
				zone: toId(zone),
				address: toId(`${listen.callers!.host}:${listen.callers!.port}`),
				relayAddress: `${listen.relay.host}:${listen.relay.port}`,
				weight: cores,
			},
			seeds,
			repeats,
			reportEveryMs,
			maxTargetPauseMs,
			quotas,
			state: this.#memory.state,
			parseDocument: adapter.control.parseDocument,
			random: new SystemSeededRandom(),
		});
		this.#host = new CoreHost<EdgeEvent, EntryProcessAction>({
			settings,
			log,
			core: this.#core,
			memory: this.#memory,
			perform: action => {
				this.#perform(action);
			},
		});
		const {
			step, now, metrics, logHandlerError: onError,
		} = this.#host;
		const sharedOptions = {
			codec: adapter.requests, memory: this.#memory, exchanges: this.#exchanges, step, now, onError, leaving: () => this.#core.leaving,
		};
		this.#requestServers = [
			new RequestServer({
				...sharedOptions, key: 'listen.callers', listen: listen.callers!, relay: false,
			}),
			new RequestServer({
				...sharedOptions, key: 'internal', listen: listen.relay, relay: true,
			}),
		];
		this.#statusServers = this.#createStatusServers();
		metrics.gauge('requests_in_flight', () => this.#core.inFlight);
		for (const kind of ['bodies', 'heads', 'requests', 'answers', 'unread'] as const) {
			metrics.gauge(`held_${kind}_bytes`, () => this.#memory[kind].bytes);
		}

		metrics.gauge('accepted_connections', () => this.#memory.connections.size);
		exportStateGauges(metrics, this.#memory.state);
		metrics.gauge('document_version', () => this.#core.documentVersion ?? 0);
		metrics.gauge('control_silent_ms', () => this.#core.status(now()).controlSilentMs);
		metrics.gauge('control_outdated_ms', () => this.#core.status(now()).controlOutdatedMs);
	}

	/** Accepts callers first, so that those who come while the rest is loaded wait instead of being refused. */
	async open(): Promise<void> {
		for (const server of [...this.#requestServers, ...this.#statusServers]) {
			await server.open(); // eslint-disable-line no-await-in-loop
		}

		const {settings, adapter, log} = this.#options;
		log.write('listening', {});
		const {TargetClient} = await import('./target-client.ts');
		this.#client = new TargetClient({
			region: toId(settings.region), forwards: settings.internal.forwards, codec: adapter.requests, memory: this.#memory, step: this.#host.step,
		});
		await this.#host.open();
		this.#host.startTicking();
	}

	async stop(): Promise<void> {
		const {settings: {graceMs}} = this.#options;
		const drained = new Promise<void>(resolve => {
			this.#resolveDrained = resolve;
		});
		const closeMs = Math.max(0, graceMs - closeMarginMs);
		const acceptMs = Math.min(acceptWhileDrainingMs, graceMs / 3);
		this.#host.step({type: 'drain', answerMs: Math.max(0, closeMs - answerMarginMs)});
		await sleep(acceptMs);
		this.#host.step({type: 'shut'});
		await Promise.all(this.#requestServers.map(async server => server.stopListening()));

		await Promise.race([this.#answered(drained), sleep(closeMs - acceptMs)]);
		this.#host.stopTicking();
		// After a standstill, the end of the sleep can come before answers of targets are read, and before the core ends what is left.
		await pendingReads();
		this.#host.step({type: 'end'});
		await Promise.all([...this.#requestServers, ...this.#statusServers].map(async server => server.close()));
		await this.#client?.close();
		await this.#host.close();
	}

	reload(): void {
		// An entry applies its settings at start only; the log line confirms that the signal arrived.
		this.#options.log.write('reloaded', {file: this.#options.settings.file});
	}

	/** Resolves once the core has no request in flight and all answers are written: callers may read them slowly. */
	async #answered(drained: Promise<void>): Promise<void> {
		await drained;
		await Promise.all(this.#requestServers.map(async server => server.idle()));
	}

	#createStatusServers(): readonly HttpServer[] {
		const {settings: {listen}, adapter} = this.#options;
		const {now, metrics, logHandlerError: onError} = this.#host;
		const servers = [new HttpServer({
			key: 'listen.readiness',
			listen: listen.readiness!,
			kind: 'status',
			memory: this.#memory,
			onError,
			handle: (req, res) => {
				const ready = req.url === adapter.control.readinessPath && this.#core.ready;
				res.writeHead(ready ? 200 : 503).end();
			},
		})];
		if (listen.metrics !== undefined) {
			servers.push(new MetricsServer({
				listen: listen.metrics, metrics, status: () => this.#core.status(now()), onError, memory: this.#memory,
			}));
		}

		return servers;
	}

	#perform(action: EntryProcessAction): void {
		switch (action.type) {
			case 'start': {
				this.#startAttempt(action);
				break;
			}

			case 'probe': {
				void this.#probe(action);
				break;
			}

			case 'cancel': {
				this.#client?.cancel(action.attempt);
				break;
			}

			case 'pass': {
				this.#client?.startStreaming(action.attempt, action.softwareVersion);
				break;
			}

			case 'complete': {
				const exchange = this.#exchanges.get(action.requestId);
				this.#client?.complete(action.attempt);
				if (exchange !== undefined) {
					this.#host.metrics.time('answer', this.#host.now() - exchange.edgeRequest.arrivedAt);
				}

				break;
			}

			case 'refuse': {
				this.#refuse(action);
				break;
			}

			case 'document': {
				for (const server of this.#requestServers) {
					server.setLimits(this.#core.table!.document.limits);
				}

				break;
			}

			case 'drained': {
				this.#resolveDrained?.();
				break;
			}

			case 'append':
			case 'rewrite': {
				// Entries have no journal.
				break;
			}
		}
	}

	#startAttempt(action: EdgeAction & {type: 'start'}): void {
		const exchange = this.#exchanges.get(action.requestId);
		if (exchange === undefined) {
			// The caller has disconnected; the `caller-gone` event is already queued.
			return;
		}

		this.#host.metrics.count('attempts', action.targetId === undefined ? 'away' : 'local');
		this.#client?.start(action, exchange);
	}

	async #probe({targetId, address}: EdgeAction & {type: 'probe'}): Promise<void> {
		const reachable = await this.#client!.canConnect(address);
		this.#host.step({type: 'probe-result', targetId, reachable});
	}

	#refuse({requestId, refusal}: EdgeAction & {type: 'refuse'}): void {
		const exchange = this.#exchanges.get(requestId);
		if (exchange === undefined) {
			return;
		}

		const {requests: codec} = this.#options.adapter;
		const headers: string[] = [];
		if (refusal.retryAfterMs !== undefined && refusal.ran === 'no') {
			headers.push('Retry-After', codec.formatRetryAfter(refusal.retryAfterMs));
		}

		if (refusal.reason === 'unauthorized') {
			headers.push('WWW-Authenticate', codec.challenge);
		}

		if (exchange.edgeRequest.forwarded !== undefined && refusal.ran === 'no') {
			headers.push(relayHeader.refusedName, relayHeader.writeRefusal(refusal), ...codec.namingHeaders(exchange.head.key));
		}

		exchange.refuse(refusal, headers);
	}
}
