import type {Millis} from '../../core/ids/millis.ts';
import type {NodeId} from '../../core/ids/node-id.ts';
import type {PeerMessage} from '../../core/peer-message.ts';
import type {SharedAction} from '../../core/shared-action.ts';
import type {RoutesSettings} from '../../settings/routes-settings.ts';
import {CoreRunner} from '../core-runner.ts';
import type {EventLog} from '../event-log.ts';
import {Metrics} from '../metrics.ts';
import {PeerConnections} from './peer-connections.ts';

/** Time between two ticks of a core, in milliseconds. */
const tickMs = 50;
const sharedTypes: ReadonlySet<string> = new Set<SharedAction['type']>(['send', 'count', 'event', 'log']);

type HostEvent = {readonly type: 'tick'} | {readonly type: 'peer'; readonly from: NodeId; readonly message: PeerMessage};

type CoreHostOptions<Event, Action> = {
	readonly settings: RoutesSettings;
	readonly log: EventLog;
	readonly core: {step(event: Event | HostEvent, now: Millis): ReadonlyArray<Action | SharedAction>};
	/** Carries out the actions of this kind of core. */
	readonly perform: (action: Action) => void;
};

/** What every process of a deployment with a routes document has around its core: the loop, links to other nodes, metrics. */
export class CoreHost<Event, Action extends {readonly type: string}> {
	readonly metrics = new Metrics();
	readonly #log: EventLog;
	readonly #performOwn: (action: Action) => void;
	readonly #loop: CoreRunner<Event | HostEvent, Action | SharedAction>;
	readonly #peers: PeerConnections;
	#ticker: NodeJS.Timeout | undefined;

	constructor({settings, log, core, perform}: CoreHostOptions<Event, Action>) {
		this.#log = log;
		this.#performOwn = perform;
		this.#loop = new CoreRunner({
			node: core,
			perform: action => {
				this.#perform(action);
			},
		});
		this.#peers = new PeerConnections({
			settings,
			metrics: this.metrics,
			onMessage: (from, message) => {
				this.#loop.step({type: 'peer', from, message});
			},
		});
	}

	/** Hands an event to the core, from here or from a listener. */
	readonly step = (event: Event): void => {
		this.#loop.step(event);
	};

	readonly now = (): Millis => this.#loop.now();

	/** Called with what a listener's handler throws. */
	readonly handlerFailed = (error: Error): void => {
		this.#log.warn('handler-failed', {error: error.stack});
	};

	async open(): Promise<void> {
		return this.#peers.open();
	}

	startTicking(): void {
		this.#ticker = setInterval(() => {
			this.#loop.step({type: 'tick'});
		}, tickMs);
		this.#loop.step({type: 'tick'});
	}

	stopTicking(): void {
		clearInterval(this.#ticker);
	}

	async close(): Promise<void> {
		return this.#peers.close();
	}

	/** Carries out an action, or hands it to the process if only that knows how. */
	#perform(action: Action | SharedAction): void {
		if (!isShared(action)) {
			this.#performOwn(action);
			return;
		}

		switch (action.type) {
			case 'send': {
				this.#peers.links.send(action.to, action.message);
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
	return sharedTypes.has(action.type);
}
