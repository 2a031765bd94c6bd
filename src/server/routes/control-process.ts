import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {ControlCore} from '../../core/control/control-core.ts';
import type {ControlAction} from '../../core/control/control-action.ts';
import type {ControlEvent} from '../../core/control/control-event.ts';
import type {Region} from '../../core/ids/region.ts';
import {toId} from '../../core/ids/to-id.ts';
import type {Zone} from '../../core/ids/zone.ts';
import type {SharedAction} from '../../core/shared-action.ts';
import type {RoutesSettings} from '../../settings/routes-settings.ts';
import {SystemSeededRandom} from '../system-seeded-random.ts';
import type {EventLog} from '../event-log.ts';
import {type DataFolder} from '../journal/data-folder.ts';
import {ControlListeners} from './control-listeners.ts';
import {CoreHost} from './core-host.ts';
import type {Dialect} from './dialect.ts';
import {MetricsServer} from './metrics-server.ts';
import type {RoutesProcess} from './routes-process.ts';

/** Time between two tries to write to a disk that failed, in milliseconds. */
const diskProbeMs = 500;

/** What only this kind of process carries out. */
type OwnAction = Exclude<ControlAction, SharedAction>;

type ControlProcessOptions = {
	readonly settings: RoutesSettings;
	readonly dialect: Dialect;
	readonly log: EventLog;
	readonly folder: DataFolder;
	/** Called when a disk that failed can be written again: the process must be started anew. */
	readonly onDiskFailed: () => void;
};

/** A control node: keeps the replicated state, the registry of targets and the directory of entries. */
export class ControlProcess implements RoutesProcess {
	readonly #options: ControlProcessOptions;
	readonly #core: ControlCore;
	readonly #host: CoreHost<ControlEvent, OwnAction>;
	readonly #listeners: ControlListeners;
	readonly #metricsServer: MetricsServer | undefined;
	#awaitingDisk = false;

	constructor(options: ControlProcessOptions) {
		const {settings, dialect, log, folder} = options;
		this.#options = options;
		const {nodeId, region, zones, listen, seeds, firstStart, toleratedDisks, reportEveryMs, directoryTtlMs} = settings;
		const operators = listen.operators!;
		this.#core = new ControlCore({
			self: {nodeId, region: toId(region), operatorAddress: `${operators.host}:${operators.port}`},
			seeds,
			firstStart,
			zones: new Map(Object.entries(zones).map(([zone, name]) => [toId<Zone>(zone), toId<Region>(name)])),
			toleratedLosses: toleratedDisks,
			reportEveryMs,
			random: new SystemSeededRandom(),
			epoch: randomUUID(),
			storage: {storageId: folder.storageId, consensus: folder.loads.consensus},
		});
		this.#host = new CoreHost<ControlEvent, OwnAction>({
			settings,
			log,
			core: this.#core,
			perform: action => {
				this.#perform(action);
			},
		});
		const {step, now, metrics} = this.#host;
		this.#listeners = new ControlListeners({
			operators, directory: listen.directory!, directoryTtlMs, dialect: dialect.control, core: this.#core, step, now, log, onError: this.#host.handlerFailed,
		});
		this.#metricsServer = listen.metrics && new MetricsServer({
			listen: listen.metrics,
			metrics,
			status: () => this.#core.status(now()),
			onError: this.#host.handlerFailed,
		});
		metrics.gauge('document_version', () => this.#core.status(now()).documentVersion ?? 0);
		metrics.gauge('commit_index', () => this.#core.status(now()).consensus.commitIndex);
		metrics.gauge('current', () => Number(this.#core.status(now()).current));
	}

	async open(): Promise<void> {
		await this.#host.open();
		await this.#listeners.open();
		await this.#metricsServer?.open();
		this.#host.startTicking();
	}

	async stop(): Promise<void> {
		this.#host.stopTicking();
		await this.#listeners.close();
		await this.#metricsServer?.close();
		await this.#host.close();
		await this.#options.folder.close();
	}

	reload(): void {
		// Seeds only matter to a node that joins: the group's own list is kept in the replicated log.
		this.#options.log.write('reloaded', {file: this.#options.settings.file});
	}

	#perform(action: OwnAction): void {
		switch (action.type) {
			case 'append':
			case 'rewrite': {
				void this.#write(action);
				break;
			}

			case 'call-answer': {
				this.#listeners.answered(action.callId, action.answer);
				break;
			}

			case 'disk-failed': {
				this.#options.log.warn('disk-failed', {reason: action.reason});
				void this.#awaitDisk();
				break;
			}
		}
	}

	/** Without a vote, but with its registry and directory, the node goes on until its disk can be written again; then it has to start anew. */
	async #awaitDisk(): Promise<void> {
		if (this.#awaitingDisk) {
			return;
		}

		this.#awaitingDisk = true;
		const {folder, log, onDiskFailed} = this.#options;
		do {
			await sleep(diskProbeMs); // eslint-disable-line no-await-in-loop
		} while (!await folder.isWritable()); // eslint-disable-line no-await-in-loop

		log.write('disk-regained', {});
		onDiskFailed();
	}

	async #write({type, journal, records, token}: ControlAction & {type: 'append' | 'rewrite'}): Promise<void> {
		const writer = this.#options.folder.journals[journal];
		try {
			await (type === 'append' ? writer.append(records) : writer.rewrite(records));
			this.#host.step({type: 'written', journal, token});
		} catch (error) {
			this.#host.step({type: 'write-failed', journal, reason: (error as Error).message});
		}
	}
}
