import type {Millis} from '../../core/ids/millis.ts';
import type {NodeId} from '../../core/ids/node-id.ts';
import type {OutboxAction} from '../../core/outbox-action.ts';
import type {PeerMessage} from '../../core/peer-message.ts';
import type {RoutesSettings} from '../../settings/routes-settings.ts';
import {CoreRunner} from '../core-runner.ts';
import type {EventLog} from '../event-log.ts';
import {Metrics} from '../metrics.ts';
import {PeerConnections} from './peer-connections.ts';

/** Time between two ticks of a core, in milliseconds. */
const tickMs = 50;

type HostEvent = {readonly type: 'tick'} | {readonly type: 'peer'; readonly from: NodeId; readonly message: PeerMessage};

type CoreHostOptions<Event, Action> = {
	readonly settings: RoutesSettings;
	readonly log: EventLog;
	readonly core: {step(event: Event | HostEvent, now: Millis): readonly Action[]};
	readonly perform: (action: Action) => void;
};

/** What every process of a deployment with a routes document has around its core: the loop, links to other nodes, metrics. */
export class CoreHost<Event, Action> {
	readonly metrics = new Metrics();
	readonly #log: EventLog;
	readonly #loop: CoreRunner<Event | HostEvent, Action>;
	readonly #peers: PeerConnections;
	#ticker: NodeJS.Timeout | undefined;

	constructor({settings, log, core, perform}: CoreHostOptions<Event, Action>) {
		this.#log = log;
		this.#loop = new CoreRunner({node: core, perform});
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

	/** Carries out what any core may ask for: messages, counters, log lines. */
	performOutbox(action: Exclude<OutboxAction, {type: 'append' | 'rewrite'}>): void {
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
