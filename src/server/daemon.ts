import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Action} from '../core/actions.ts';
import {GatewayCore} from '../core/gateway-core.ts';
import type {Millis} from '../core/ids/millis.ts';
import type {RequestId} from '../core/ids/request-id.ts';
import {constants} from '../settings/constants.ts';
import {loadSettings} from '../settings/load-settings.ts';
import type {ResolvedSettings} from '../settings/resolved-settings.ts';
import {SystemSeededRandom} from './system-seeded-random.ts';
import {ActionPerformer} from './action-performer.ts';
import {AttemptClient} from './attempt-client.ts';
import {CallerApi} from './caller-api.ts';
import {ApiServer} from './api-server.ts';
import type {CallerRequest} from './caller-request.ts';
import {CoreRunner} from './core-runner.ts';
import {exportStateGauges} from './export-state-gauges.ts';
import type {DataFolder} from './journal/data-folder.ts';
import {openWhenWritable} from './journal/open-when-writable.ts';
import {httpRoutes} from './http-routes.ts';
import {log} from './log.ts';
import {Metrics} from './metrics.ts';
import {OperatorApi} from './operator-api.ts';
import {OrderSender} from './order-sender.ts';
import {PeerLinks} from './peer-links.ts';
import {PeerQueueBudget} from './peer-queue-budget.ts';
import {PeerServer} from './peer-server.ts';
import {PeerToken} from './peer-token.ts';
import {ProcessMemory} from './process-memory.ts';
import {ProcessApi} from './process-api.ts';
import {RequestReader} from './request-reader.ts';
import {TargetApi} from './target-api.ts';

/** A running process of the system: the core with its servers, links, data folder and timers. */
export class Daemon {
	/**
	 * Reads the settings file, opens the data folder, after a wait while its disk is full, and starts to serve.
	 *
	 * @throws SettingsError, a FolderError if the data folder cannot be used, a ListenError, or an `AbortError` if `signal` ends the wait for a full disk.
	 */
	static async start(file: string, signal?: AbortSignal): Promise<Daemon> {
		const startedAt = Date.now();
		const settings = loadSettings(file, startedAt);
		const folder = settings.dataFolder === undefined ? undefined : await openDataFolder(settings.dataFolder, signal);
		const daemon = new Daemon(settings, startedAt, folder);
		try {
			await daemon.#open();
		} catch (error) {
			await folder?.close();
			throw error;
		}

		return daemon;
	}

	#settings: ResolvedSettings;
	readonly #startedAt: number;
	readonly #metrics = new Metrics();
	readonly #requests = new Map<RequestId, CallerRequest>();
	readonly #log = log('process');
	readonly #folder: DataFolder | undefined;
	readonly #core: GatewayCore;
	readonly #runner: CoreRunner;
	readonly #links: PeerLinks;
	readonly #attemptClient: AttemptClient;
	readonly #orderSender: OrderSender;
	readonly #operatorApi: OperatorApi;
	readonly #peerServer: PeerServer;
	readonly #apiServer: ApiServer;
	readonly #performer: ActionPerformer;
	#tickTimer: NodeJS.Timeout | undefined;
	#resolveDrained: (() => void) | undefined;

	private constructor(settings: ResolvedSettings, startedAt: number, folder: DataFolder | undefined) {
		this.#settings = settings;
		this.#startedAt = startedAt;
		this.#folder = folder;
		const token = new PeerToken(() => this.#settings.keys.peer);
		const {self} = settings;
		const memory = new ProcessMemory({
			memoryMb: settings.memoryMb,
			stateKinds: ['served-traits', 'claims'],
			onTurnedAway: kind => {
				this.#metrics.count('clients_turned_away', kind);
			},
		});
		this.#core = new GatewayCore({
			state: memory.state,
			self,
			seeds: settings.seeds,
			controlMembers: settings.controlMembers,
			random: new SystemSeededRandom(),
			startedAt: performance.now() as Millis,
			storage: folder && {storageId: folder.storageId, consensus: folder.loads.consensus, ledger: folder.loads.ledger},
		});
		this.#runner = new CoreRunner({
			node: this.#core,
			perform: action => {
				this.#perform(action);
			},
		});
		const step = this.#runner.step.bind(this.#runner);
		const budget = new PeerQueueBudget(constants.maxPeerQueuesBytes);
		this.#links = new PeerLinks({
			self, token, metrics: this.#metrics, budget, address: nodeId => this.#core.info(nodeId)?.peerAddress,
		});
		this.#attemptClient = new AttemptClient({
			self, token, memory, step,
		});
		this.#orderSender = new OrderSender({key: () => this.#settings.keys.order, step});
		const common = {node: this.#core, region: self.region, runner: this.#runner};
		this.#operatorApi = new OperatorApi({...common, operators: () => this.#settings.keys.operators});
		this.#peerServer = new PeerServer({
			self,
			listen: settings.listen.peers,
			token,
			metrics: this.#metrics,
			budget,
			maxUnlinked: memory.maxUnlinked,
			onMessage(from, message) {
				step({type: 'peer', from, message});
			},
		});
		const reader = new RequestReader({
			self, token, memory, tree: () => this.#core.tree, now: () => this.#runner.now(),
		});
		const callers = new CallerApi({
			...common, reader, metrics: this.#metrics, requests: this.#requests,
		});
		const routes = httpRoutes({
			callers,
			targets: new TargetApi({...common, memory, metrics: this.#metrics}),
			operators: this.#operatorApi,
			process: new ProcessApi({
				node: this.#core,
				metrics: this.#metrics,
				ready: () => this.#resolveDrained === undefined && this.#core.ready(this.#runner.now()),
			}),
		});
		exportStateGauges(this.#metrics, memory.state);
		this.#apiServer = new ApiServer({
			listen: settings.listen.callers,
			routes,
			memory,
			refuseOverloaded(res) {
				callers.refuseOverloaded(res);
			},
		});
		this.#performer = new ActionPerformer({
			region: self.region,
			revision: () => this.#core.tree.revision,
			requests: this.#requests,
			attempts: this.#attemptClient,
			links: this.#links,
			metrics: this.#metrics,
			orders: this.#orderSender,
			operators: this.#operatorApi,
			journals: folder?.journals,
			step,
			now: () => this.#runner.now(),
			onDrained: () => {
				this.#resolveDrained?.();
			},
		});
	}

	/** Reloads the settings file: keys take effect at once, other settings need a restart. */
	reload(): void {
		const newSettings = loadSettings(this.#settings.file, this.#startedAt);
		this.#settings = {...this.#settings, keys: newSettings.keys};
		this.#log('keys reloaded');
	}

	/** Leaves the entries list, waits until every request in flight is finished and at least `constants.drainMinMs` have passed, then closes servers, links and files. */
	async stop(): Promise<void> {
		this.#log('draining');
		const drained = new Promise<void>(resolve => {
			this.#resolveDrained = resolve;
		});
		const minimumWait = sleep(constants.drainMinMs);
		this.#runner.step({type: 'drain'});
		await Promise.all([drained, minimumWait]);
		await this.#close();
		this.#log('stopped');
	}

	async #open(): Promise<void> {
		await this.#peerServer.open();
		await this.#apiServer.open();
		this.#tickTimer = setInterval(() => {
			this.#runner.step({type: 'tick'});
		}, constants.tickMs);
		const {self, listen} = this.#settings;
		this.#log(`${self.nodeId} serves callers on ${listen.callers.host}:${listen.callers.port}`);
	}

	async #close(): Promise<void> {
		await this.#apiServer.close();
		clearInterval(this.#tickTimer);
		this.#links.close();
		await this.#peerServer.close();
		await this.#attemptClient.close();
		await this.#orderSender.close();
		await this.#folder?.close();
	}

	#perform(action: Action): void {
		this.#performer.perform(action);
	}
}

async function openDataFolder(folder: string, signal?: AbortSignal): Promise<DataFolder> {
	const logDisk = log('disk');
	return openWhenWritable(folder, {
		onFailed(reason) {
			logDisk(`waiting for the disk: ${reason}`);
		},
		onRegained() {
			logDisk('the disk can be written');
		},
		signal,
	});
}
