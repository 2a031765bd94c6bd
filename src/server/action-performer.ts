import type {Action} from '../core/actions.ts';
import type {JournalName} from '../core/common/journal-name.ts';
import type {CoreEvent} from '../core/events.ts';
import type {RequestId} from '../core/ids/request-id.ts';
import type {Refusal} from '../core/results/refusal.ts';
import {constants} from '../settings/constants.ts';
import type {AttemptClient} from './attempt-client.ts';
import type {CallerRequest} from './caller-request.ts';
import {canConnect} from './can-connect.ts';
import {log} from './log.ts';
import type {Metrics} from './metrics.ts';
import type {OperatorApi} from './operator-api.ts';
import type {OrderSender} from './order-sender.ts';
import type {PeerLinks} from './peer-links.ts';
import {makeProblem} from './make-problem.ts';

/** Last server-sent event of a streamed completion. */
const streamEnd = 'data: [DONE]\n\n';

/** The journal operations behind the core's `append` and `rewrite` actions. */
interface JournalWriter {
	append(records: readonly unknown[]): Promise<void>;
	rewrite(records: readonly unknown[]): Promise<void>;
}

type ActionPerformerOptions = {
	readonly region: string;
	readonly revision: () => number;
	readonly requests: Map<RequestId, CallerRequest>;
	readonly attempts: AttemptClient;
	readonly links: PeerLinks;
	readonly metrics: Metrics;
	readonly orders: OrderSender;
	readonly operators: OperatorApi;
	/** Undefined for a process without a data folder. */
	readonly journals?: Readonly<Record<JournalName, JournalWriter>>;
	readonly step: (event: CoreEvent) => void;
	readonly now: () => number;
	readonly onDrained: () => void;
};

/** Executes the core's actions: network I/O, journal writes, logs and metrics. */
export class ActionPerformer {
	readonly #options: ActionPerformerOptions;
	readonly #loggers = new Map<string, (text: string) => void>();

	constructor(options: ActionPerformerOptions) {
		this.#options = options;
	}

	perform(action: Action): void {
		switch (action.type) {
			case 'send': {
				this.#options.links.send(action.to, action.message);
				break;
			}

			case 'append':
			case 'rewrite': {
				void this.#writeJournal(action);
				break;
			}

			case 'count': {
				this.#options.metrics.count(action.name, action.reason, action.amount);
				break;
			}

			case 'event': {
				this.#log('event', `${action.event} ${JSON.stringify(action.fields)}`);
				break;
			}

			case 'log': {
				this.#log(action.part, action.text);
				break;
			}

			case 'start-attempt': {
				this.#startAttempt(action);
				break;
			}

			case 'probe': {
				void this.#probe(action);
				break;
			}

			case 'hand-over': {
				this.#options.requests.get(action.requestId)?.handOver(action.attemptId, {resume: action.resume});
				break;
			}

			case 'cancel-attempt': {
				this.#options.attempts.cancel(action.attemptId);
				break;
			}

			case 'complete': {
				this.#complete(action);
				break;
			}

			case 'refuse': {
				this.#refuse(action.requestId, action.refusal);
				break;
			}

			case 'replay': {
				this.#options.requests.get(action.requestId)?.replay(action.answer);
				break;
			}

			case 'change-answer': {
				this.#options.operators.resolveChange(action.changeId, action.outcome);
				break;
			}

			case 'order': {
				void this.#options.orders.send(action.order);
				break;
			}

			case 'settings': {
				this.#log('settings', `revision ${action.revision} is in force`);
				break;
			}

			case 'drained': {
				this.#options.onDrained();
				break;
			}
		}
	}

	#startAttempt(action: Extract<Action, {type: 'start-attempt'}>): void {
		const request = this.#options.requests.get(action.requestId);
		if (request) {
			this.#options.attempts.start(action, request);
			return;
		}

		// The caller's connection has closed, so nothing is sent.
		this.#options.step({
			type: 'attempt-failed',
			attemptId: action.attemptId,
			failure: {
				reason: 'connect', notSent: true, passedOn: false, tokens: 0,
			},
		});
	}

	async #probe({targetId, address}: Extract<Action, {type: 'probe'}>): Promise<void> {
		const reachable = await canConnect(address, constants.probeTimeoutMs);
		this.#options.step({type: 'probe-result', targetId, reachable});
	}

	#complete(action: Extract<Action, {type: 'complete'}>): void {
		const request = this.#options.requests.get(action.requestId);
		if (!request) {
			return;
		}

		request.complete(action.attemptId, request.info.streamed ? streamEnd : '');
		this.#options.metrics.time('answer', this.#options.now() - request.info.arrivedAt);
	}

	#refuse(requestId: RequestId, refusal: Refusal): void {
		this.#options.requests.get(requestId)?.refuse(makeProblem(refusal, {region: this.#options.region, revision: this.#options.revision()}));
	}

	async #writeJournal(action: Extract<Action, {type: 'append' | 'rewrite'}>): Promise<void> {
		const {journal, records, token} = action;
		const writer = this.#options.journals?.[journal];
		if (!writer) {
			this.#options.step({type: 'write-failed', journal, reason: 'the process has no data folder'});
			return;
		}

		try {
			await (action.type === 'append' ? writer.append(records) : writer.rewrite(records));
			this.#options.step({type: 'written', journal, token});
		} catch (error) {
			this.#options.step({type: 'write-failed', journal, reason: (error as Error).message});
		}
	}

	#log(part: string, text: string): void {
		let logger = this.#loggers.get(part);
		if (!logger) {
			logger = log(part);
			this.#loggers.set(part, logger);
		}

		logger(text);
	}
}
