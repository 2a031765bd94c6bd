import type {Action} from './actions.ts';
import type {JournalName} from './common/journal-name.ts';
import type {Outbox} from './common/outbox.ts';
import type {NodeId} from './ids/node-id.ts';
import type {OutboxAction} from './outbox-action.ts';
import type {PeerMessage} from './peer-message.ts';
import type {CounterName} from './results/counter-name.ts';

/** Collects the actions of one step. Messages that the node sends to itself are queued and delivered locally. */
export class ActionQueue<NodeAction extends {type: string} = Action> implements Outbox {
	readonly #self: NodeId;
	#actions: Array<NodeAction | OutboxAction> = [];
	#loopback: PeerMessage[] = [];
	#token = 0;

	constructor(self: NodeId) {
		this.#self = self;
	}

	push(action: NodeAction | OutboxAction): void {
		this.#actions.push(action);
	}

	send(to: NodeId, message: PeerMessage): void {
		if (to === this.#self) {
			this.#loopback.push(message);
			return;
		}

		this.#actions.push({type: 'send', to, message});
	}

	append(journal: JournalName, records: readonly unknown[]): number {
		this.#token += 1;
		this.#actions.push({
			type: 'append', journal, records, token: this.#token,
		});
		return this.#token;
	}

	rewrite(journal: JournalName, records: readonly unknown[]): number {
		this.#token += 1;
		this.#actions.push({
			type: 'rewrite', journal, records, token: this.#token,
		});
		return this.#token;
	}

	count(name: CounterName, reason?: string, amount = 1): void {
		this.#actions.push({
			type: 'count', name, reason, amount,
		});
	}

	event(event: string, fields: Readonly<Record<string, unknown>>): void {
		this.#actions.push({type: 'event', event, fields});
	}

	log(part: string, text: string): void {
		this.#actions.push({type: 'log', part, text});
	}

	/** Returns the collected actions and clears the queue. */
	take(): ReadonlyArray<NodeAction | OutboxAction> {
		const actions = this.#actions;
		this.#actions = [];
		return actions;
	}

	/** Passes the messages that the node sent to itself to `handle`; returns their number. */
	deliverLoopback(handle: (message: PeerMessage) => void): number {
		const messages = this.#loopback;
		this.#loopback = [];
		for (const message of messages) {
			handle(message);
		}

		return messages.length;
	}
}
