import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {pendingMember} from '../../core/consensus/pending-member.ts';
import {ControlCore} from '../../core/control/control-core.ts';
import type {ControlAction} from '../../core/control/control-action.ts';
import type {ControlEvent} from '../../core/control/control-event.ts';
import type {Millis} from '../../core/ids/millis.ts';
import type {Region} from '../../core/ids/region.ts';
import {toId} from '../../core/ids/to-id.ts';
import type {Zone} from '../../core/ids/zone.ts';
import type {SharedAction} from '../../core/shared-action.ts';
import type {RoutesSettings} from '../../settings/routes-settings.ts';
import {SystemSeededRandom} from '../system-seeded-random.ts';
import type {EventLog} from '../event-log.ts';
import {exportStateGauges} from '../export-state-gauges.ts';
import {type DataFolder} from '../journal/data-folder.ts';
import {ProcessMemory} from '../process-memory.ts';
import {ControlServers} from './control-servers.ts';
import {CoreHost} from './core-host.ts';
import type {PlatformAdapter} from './platform-adapter.ts';
import {MetricsServer} from './metrics-server.ts';
import type {RoutesProcess} from './routes-process.ts';

/** Longest wait for the answers to calls in progress when the process stops, in milliseconds; the core answers each within `controlTiming.callTimeoutMs`. */
const maxCallWaitMs = 2000;
/** Time for the last answers to reach their callers, in milliseconds. */
const answerMarginMs = 200;

/** Core actions that are specific to a control node. */
type ControlProcessAction = Exclude<ControlAction, SharedAction>;

type ControlProcessOptions = {
	readonly settings: RoutesSettings;
	readonly adapter: PlatformAdapter;
	readonly log: EventLog;
	readonly folder: DataFolder;
};

/** The process of a control node, which holds the replicated state, the registry of targets and the directory of entries. */
export class ControlProcess implements RoutesProcess {
	readonly #options: ControlProcessOptions;
	readonly #core: ControlCore;
	readonly #host: CoreHost<ControlEvent, ControlProcessAction>;
	readonly #servers: ControlServers;
	readonly #metricsServer: MetricsServer | undefined;

	constructor(options: ControlProcessOptions) {
		const {settings, adapter, log, folder} = options;
		this.#options = options;
		const {nodeId, region, zones, listen, seeds, firstStart, toleratedDisks, reportEveryMs, directoryTtlMs, memoryMb, descriptors} = settings;
		const operators = listen.operators!;
		const memory = new ProcessMemory({
			memoryMb,
			descriptors,
			stateKinds: ['stream-origins', 'targets'],
			onTurnedAway: kind => {
				this.#host.metrics.count('clients_turned_away', kind);
			},
		});
		this.#core = new ControlCore({
			self: {nodeId, region: toId(region), operatorAddress: `${operators.host}:${operators.port}`},
			seeds,
			firstStart,
			zones: new Map(Object.entries(zones).map(([zone, name]) => [toId<Zone>(zone), toId<Region>(name)])),
			toleratedLosses: toleratedDisks,
			reportEveryMs,
			state: memory.state,
			parseDocument: adapter.control.parseDocument,
			random: new SystemSeededRandom(),
			// The process's clock counts from its start.
			startedAt: 0 as Millis,
			epoch: randomUUID(),
			storage: {storageId: folder.storageId, consensus: folder.loads.consensus},
		});
		this.#host = new CoreHost<ControlEvent, ControlProcessAction>({
			settings,
			log,
			core: this.#core,
			memory,
			perform: action => {
				this.#perform(action);
			},
		});
		const {step, now, metrics} = this.#host;
		const regions = new Set(Object.values(zones).map(name => toId<Region>(name)));
		this.#servers = new ControlServers({
			operators,
			regions: regions.size > 0 ? regions : undefined,
			directory: listen.directory!, directoryTtlMs, memory, codec: adapter.control, core: this.#core, step, now, log, onError: this.#host.logHandlerError,
		});
		this.#metricsServer = listen.metrics && new MetricsServer({
			listen: listen.metrics,
			metrics,
			status: () => this.#core.status(now()),
			memory,
			onError: this.#host.logHandlerError,
		});
		metrics.gauge('document_version', () => this.#core.status(now()).documentVersion ?? 0);
		metrics.gauge('commit_index', () => this.#core.status(now()).consensus.commitIndex);
		metrics.gauge('voters', () => this.#core.status(now()).consensus.voters.length);
		metrics.gauge('pending_voters', () => Number(pendingMember(this.#core.status(now()).consensus) !== undefined));
		metrics.gauge('accepted_connections', () => memory.connections.size);
		exportStateGauges(metrics, memory.state);
		metrics.gauge('current', () => Number(this.#core.status(now()).current));
	}

	async open(): Promise<void> {
		await this.#host.open();
		await this.#servers.open();
		await this.#metricsServer?.open();
		this.#host.startTicking();
	}

	/** Answers the calls in progress before it closes its servers: operators can't tell what a call that was cut off has done. */
	async stop(): Promise<void> {
		const {settings: {graceMs}} = this.#options;
		await this.#servers.stopAccepting();
		const answered = this.#servers.idle();
		await Promise.race([answered, sleep(Math.min(maxCallWaitMs, graceMs / 2))]);
		this.#servers.abandonCalls();
		await Promise.race([answered, sleep(answerMarginMs)]);
		this.#host.stopTicking();
		await this.#servers.close();
		await this.#metricsServer?.close();
		await this.#host.close();
		await this.#options.folder.close();
	}

	reload(): void {
		// Seeds are used only to join: afterwards the list of members comes from the replicated log.
		this.#options.log.write('reloaded', {file: this.#options.settings.file});
	}

	#perform(action: ControlProcessAction): void {
		switch (action.type) {
			case 'append':
			case 'rewrite': {
				void this.#writeJournal(action);
				break;
			}

			case 'call-answer': {
				this.#servers.resolveCall(action.callId, action.answer);
				break;
			}
		}
	}

	async #writeJournal({type, journal, records, token}: ControlAction & {type: 'append' | 'rewrite'}): Promise<void> {
		const writer = this.#options.folder.journals[journal];
		try {
			await (type === 'append' ? writer.append(records) : writer.rewrite(records));
			this.#host.step({type: 'written', journal, token});
		} catch (error) {
			this.#host.step({type: 'write-failed', journal, reason: (error as Error).message});
		}
	}
}
