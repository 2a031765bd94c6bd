import {setTimeout as sleep} from 'node:timers/promises';
import {EdgeCore} from '../../core/edge/edge-core.ts';
import type {EdgeAction} from '../../core/edge/edge-action.ts';
import type {EdgeEvent} from '../../core/edge/edge-event.ts';
import type {RequestId} from '../../core/ids/request-id.ts';
import {toId} from '../../core/ids/to-id.ts';
import type {RoutesSettings} from '../../settings/routes-settings.ts';
import {CoreRunner} from '../core-runner.ts';
import {CryptoRandom} from '../crypto-random.ts';
import type {EventLog} from '../event-log.ts';
import {Metrics} from '../metrics.ts';
import type {CallerExchange} from './caller-exchange.ts';
import type {Dialect} from './dialect.ts';
import {HttpServer} from './http-server.ts';
import {MetricsServer} from './metrics-server.ts';
import {PeerConnections} from './peer-connections.ts';
import {performOutboxAction} from './perform-outbox-action.ts';
import {relayHeader} from './relay-header.ts';
import {RequestListener} from './request-listener.ts';
import type {RoutesProcess} from './routes-process.ts';
import {TargetClient} from './target-client.ts';

/** Time between two ticks of the core, in milliseconds. */
const tickMs = 50;
/** Time after the order to stop in which new requests are still taken: callers have an older list of entries. */
const lastRequestsMs = 2500;
/** Time before the end of the grace period at which the process ends at the latest, in milliseconds. */
const graceMarginMs = 300;

type EntryProcessOptions = {
	readonly settings: RoutesSettings;
	readonly dialect: Dialect;
	readonly log: EventLog;
};

/** An entry: takes callers' requests and sends them to targets. */
export class EntryProcess implements RoutesProcess {
	readonly #options: EntryProcessOptions;
	readonly #metrics = new Metrics();
	readonly #exchanges = new Map<RequestId, CallerExchange>();
	readonly #core: EdgeCore;
	readonly #loop: CoreRunner<EdgeEvent, EdgeAction>;
	readonly #peers: PeerConnections;
	readonly #client: TargetClient;
	readonly #listeners: readonly RequestListener[];
	readonly #servers: readonly HttpServer[];
	#ticker: NodeJS.Timeout | undefined;
	#drained: (() => void) | undefined;

	constructor(options: EntryProcessOptions) {
		const {settings, dialect, log} = options;
		this.#options = options;
		const {nodeId, region, zone, listen, seeds, repeats, cores} = settings;
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
			parseDocument: dialect.control.parseDocument,
			random: new CryptoRandom(),
		});
		this.#loop = new CoreRunner({
			node: this.#core,
			perform: action => {
				this.#perform(action);
			},
		});
		const step = this.#loop.step.bind(this.#loop);
		const now = () => this.#loop.now();
		this.#peers = new PeerConnections({
			settings,
			metrics: this.#metrics,
			onMessage(from, message) {
				step({type: 'peer', from, message});
			},
		});
		this.#client = new TargetClient({region: toId(region), dialect: dialect.requests, step});
		const onError = (error: Error) => {
			log.warn('handler-failed', {error: error.stack});
		};

		const common = {
			dialect: dialect.requests, exchanges: this.#exchanges, step, now, onError, leaving: () => this.#core.leaving,
		};
		this.#listeners = [
			new RequestListener({
				...common, key: 'listen.callers', listen: listen.callers!, relay: false,
			}),
			new RequestListener({
				...common, key: 'internal', listen: listen.relay, relay: true,
			}),
		];
		this.#servers = this.#makeServers(onError);
		this.#metrics.gauge('requests_in_flight', () => this.#core.inFlight);
		this.#metrics.gauge('document_version', () => this.#core.documentVersion ?? 0);
		this.#metrics.gauge('control_silent_ms', () => this.#core.status(now()).controlSilentMs);
	}

	async open(): Promise<void> {
		await this.#peers.open();
		for (const server of [...this.#listeners, ...this.#servers]) {
			await server.open(); // eslint-disable-line no-await-in-loop
		}

		this.#ticker = setInterval(() => {
			this.#loop.step({type: 'tick'});
		}, tickMs);
		this.#loop.step({type: 'tick'});
	}

	async stop(): Promise<void> {
		const {settings: {graceMs}} = this.#options;
		const drained = new Promise<void>(resolve => {
			this.#drained = resolve;
		});
		this.#loop.step({type: 'drain'});
		await sleep(Math.min(lastRequestsMs, graceMs / 3));
		this.#loop.step({type: 'shut'});
		for (const listener of this.#listeners) {
			listener.stopListening();
		}

		await Promise.race([drained, sleep(graceMs - Math.min(lastRequestsMs, graceMs / 3) - graceMarginMs)]);
		clearInterval(this.#ticker);
		await Promise.all([...this.#listeners, ...this.#servers].map(async server => server.close()));
		await this.#client.close();
		await this.#peers.close();
	}

	reload(): void {
		// What an entry takes from its settings holds for its whole run; the log line tells that the signal came.
		this.#options.log.write('reloaded', {file: this.#options.settings.file});
	}

	#makeServers(onError: (error: Error) => void): readonly HttpServer[] {
		const {settings: {listen}, dialect} = this.#options;
		const servers = [new HttpServer({
			key: 'listen.readiness',
			listen: listen.readiness!,
			keepAliveMs: 10_000,
			onError,
			handle: (req, res) => {
				const ready = req.url === dialect.control.readinessPath && this.#core.ready;
				res.writeHead(ready ? 200 : 503).end();
			},
		})];
		if (listen.metrics !== undefined) {
			servers.push(new MetricsServer({
				listen: listen.metrics, metrics: this.#metrics, status: () => this.#core.status(this.#loop.now()), onError,
			}));
		}

		return servers;
	}

	#perform(action: EdgeAction): void {
		switch (action.type) {
			case 'send':
			case 'count':
			case 'event':
			case 'log': {
				performOutboxAction(action, {links: this.#peers.links, metrics: this.#metrics, log: this.#options.log});
				break;
			}

			case 'start': {
				this.#start(action);
				break;
			}

			case 'cancel': {
				this.#client.cancel(action.attempt);
				break;
			}

			case 'pass': {
				this.#client.pass(action.attempt);
				break;
			}

			case 'complete': {
				const exchange = this.#exchanges.get(action.requestId);
				this.#client.complete(action.attempt);
				if (exchange !== undefined) {
					this.#metrics.time('answer', this.#loop.now() - exchange.info.arrivedAt);
				}

				break;
			}

			case 'refuse': {
				this.#refuse(action);
				break;
			}

			case 'document': {
				for (const listener of this.#listeners) {
					listener.limit(this.#core.table!.document.limits);
				}

				break;
			}

			case 'drained': {
				this.#drained?.();
				break;
			}

			case 'append':
			case 'rewrite': {
				// An entry has no journal.
				break;
			}
		}
	}

	#start(action: EdgeAction & {type: 'start'}): void {
		const exchange = this.#exchanges.get(action.requestId);
		if (exchange === undefined) {
			// The caller has left; its event is on the way.
			return;
		}

		this.#metrics.count('attempts', action.targetId === undefined ? 'away' : 'local');
		this.#client.start(action, exchange);
	}

	#refuse({requestId, refusal}: EdgeAction & {type: 'refuse'}): void {
		const exchange = this.#exchanges.get(requestId);
		if (exchange === undefined) {
			return;
		}

		const headers: string[] = [];
		if (refusal.retryAfterMs !== undefined && refusal.ran === 'no') {
			headers.push('Retry-After', this.#options.dialect.requests.retryAfter(refusal.retryAfterMs));
		}

		if (exchange.info.forwarded !== undefined && refusal.ran === 'no') {
			headers.push(relayHeader.refusedName, refusal.reason);
		}

		exchange.refuse(refusal, headers);
	}
}
