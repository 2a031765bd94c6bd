import type {Millis} from '../../core/ids/millis.ts';
import type {NodeId} from '../../core/ids/node-id.ts';
import type {PeerMessage} from '../../core/peer-message.ts';
import type {SharedAction} from '../../core/shared-action.ts';
import type {RoutesSettings} from '../../settings/routes-settings.ts';
import {CoreRunner} from '../core-runner.ts';
import type {EventLog} from '../event-log.ts';
import type {ProcessMemory} from '../process-memory.ts';
import {Metrics} from '../metrics.ts';
import type {PeerConnections} from './peer-connections.ts';

/** Interval between ticks of the core, in milliseconds. */
const tickIntervalMs = 50;
const sharedActionTypes: ReadonlySet<string> = new Set<SharedAction['type']>(['send', 'count', 'event', 'log']);

type HostEvent = {readonly type: 'tick'} | {readonly type: 'peer'; readonly from: NodeId; readonly message: PeerMessage};

type CoreHostOptions<Event, Action> = {
	readonly settings: RoutesSettings;
	readonly log: EventLog;
	readonly core: {step(event: Event | HostEvent, now: Millis): ReadonlyArray<Action | SharedAction>};
	/** Bounds on what the process holds. */
	readonly memory: ProcessMemory;
	/** Carries out the actions that are specific to this kind of core. */
	readonly perform: (action: Action) => void;
};

/** Runs the core of a process in a deployment with a routes document: event loop, ticks, links to other nodes, log and metrics. */
export class CoreHost<Event, Action extends {readonly type: string}> {
	readonly metrics = new Metrics();
	readonly #log: EventLog;
	readonly #performProcessAction: (action: Action) => void;
	readonly #runner: CoreRunner<Event | HostEvent, Action | SharedAction>;
	readonly #settings: RoutesSettings;
	readonly #maxUnlinked: number;
	/** Undefined until `open`. */
	#peers: PeerConnections | undefined;
	#tickTimer: NodeJS.Timeout | undefined;

	constructor({settings, log, core, memory, perform}: CoreHostOptions<Event, Action>) {
		this.#settings = settings;
		this.#log = log;
		this.#maxUnlinked = memory.maxUnlinked;
		this.#performProcessAction = perform;
		this.#runner = new CoreRunner({
			node: core,
			perform: action => {
				this.#perform(action);
			},
		});
	}

	/** Passes an event to the core. */
	readonly step = (event: Event): void => {
		this.#runner.step(event);
	};

	readonly now = (): Millis => this.#runner.now();

	/** Logs an error thrown by the handler of an HTTP server. */
	readonly logHandlerError = (error: Error): void => {
		this.#log.warn('handler-failed', {error: error.stack});
	};

	/** Loads and opens the links to other nodes; they are a large part of a process's start, and an entry accepts callers before. */
	async open(): Promise<void> {
		const {PeerConnections} = await import('./peer-connections.ts');
		this.#peers = new PeerConnections({
			settings: this.#settings,
			metrics: this.metrics,
			maxUnlinked: this.#maxUnlinked,
			onMessage: (from, message) => {
				this.#runner.step({type: 'peer', from, message});
			},
		});
		await this.#peers.open();
	}

	startTicking(): void {
		this.#tickTimer = setInterval(() => {
			this.#runner.step({type: 'tick'});
		}, tickIntervalMs);
		this.#runner.step({type: 'tick'});
	}

	stopTicking(): void {
		clearInterval(this.#tickTimer);
	}

	async close(): Promise<void> {
		await this.#peers?.close();
	}

	/** Carries out the actions common to all cores and passes the others to the process. */
	#perform(action: Action | SharedAction): void {
		if (!isShared(action)) {
			this.#performProcessAction(action);
			return;
		}

		switch (action.type) {
			case 'send': {
				// The core sends nothing before its first tick, which follows `open`.
				this.#peers?.send(action.to, action.message);
				break;
			}

			case 'count': {
				this.metrics.count(action.name, action.reason, action.amount);
				break;
			}

			case 'event': {
				this.#log.write(action.event, action.fields);
				break;
			}

			case 'log': {
				this.#log.write(action.text, {part: action.part});
				break;
			}
		}
	}
}

function isShared(action: {readonly type: string}): action is SharedAction {
	return sharedActionTypes.has(action.type);
}
