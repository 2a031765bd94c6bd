import type {Outbox} from '../common/outbox.ts';
import {hash32} from '../common/hash32.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {TargetTable} from '../targets/target-table.ts';
import type {EngineOrder} from './engine-order.ts';
import type {EngineState} from './engine-state.ts';
import type {OrderSpec} from './order-spec.ts';
import type {OrdersMessage} from './orders-message.ts';

/** Time without work after which an engine counts as unused, in milliseconds. */
const unusedAfterMs = 60_000;

/** Number of latest reports that the leader may still answer with orders. */
const maxOpenReports = 4;

/** Number of latest results repeated in each report, in case an earlier report was lost. */
const maxResults = 64;

/** Part of an order's validity reserved for its way to the engine, in milliseconds. */
const transitReserveMs = 100;

type Options = {
	readonly targets: TargetTable;
	readonly outbox: Outbox;
	readonly report: (to: NodeId, message: OrdersMessage) => void;
};

type QueuedOrder = {
	readonly spec: OrderSpec;
	readonly fencing: number;
	readonly expiresAt: number;
};

/** The delegate's side of the orders: reports the region's engines to the leader, and passes the leader's orders to the engines while they are valid. */
export class OrderDelegate {
	readonly #targets: TargetTable;
	readonly #outbox: Outbox;
	readonly #sendReport: Options['report'];
	readonly #usedAt = new Map<TargetId, Millis>();
	readonly #sentReports = new Map<number, Millis>();
	readonly #results = new Map<string, boolean>();
	#queue: QueuedOrder[] = [];
	#fencing = 0;
	#nonce = 0;
	#now = 0 as Millis;

	constructor(options: Options) {
		this.#targets = options.targets;
		this.#outbox = options.outbox;
		this.#sendReport = options.report;
	}

	tick(now: Millis): void {
		this.#now = now;
		for (const {targetId, announcement: {load}} of this.#targets.all(now)) {
			if (load.running + load.queued > 0) {
				this.#usedAt.set(targetId, now);
			}
		}

		for (const [targetId, usedAt] of this.#usedAt) {
			if (now - usedAt >= unusedAfterMs) {
				this.#usedAt.delete(targetId);
			}
		}
	}

	/** Answers a leader's request for a report; a request with a lower fencing number than seen before is ignored. */
	handleLead(from: NodeId, message: Extract<OrdersMessage, {type: 'lead'}>, now: Millis): void {
		if (message.fencing < this.#fencing) {
			this.#outbox.count('stale_messages', 'orders');
			return;
		}

		this.#fencing = message.fencing;
		this.#nonce += 1;
		this.#sentReports.set(this.#nonce, now);
		this.#sentReports.delete(this.#nonce - maxOpenReports);
		const engines = this.#engines(now);
		const version = engineListVersion(engines);
		this.#sendReport(from, {
			type: 'report',
			fencing: message.fencing,
			nonce: this.#nonce,
			version,
			...(version !== message.known && {engines}),
			results: [...this.#results].map(([orderId, ok]) => ({orderId, ok})),
		});
	}

	/**
	 * Queues the leader's orders. Their validity counts from the sending of the report, which was before the leader
	 * decided. So they expire before the leader's lease, however late they arrive.
	 */
	handleOrders(message: Extract<OrdersMessage, {type: 'orders'}>): void {
		const sentAt = this.#sentReports.get(message.nonce);
		if (message.fencing !== this.#fencing || sentAt === undefined) {
			this.#outbox.count('stale_messages', 'orders');
			return;
		}

		this.#sentReports.delete(message.nonce);
		const expiresAt = sentAt + message.validMs;
		this.#queue.push(...message.orders.map(spec => ({spec, fencing: message.fencing, expiresAt})));
	}

	recordResult(orderId: string, ok: boolean): void {
		this.#results.set(orderId, ok);
		if (this.#results.size > maxResults) {
			const [oldest] = this.#results.keys();
			this.#results.delete(oldest!);
		}
	}

	/** Takes the queued orders that are still valid and whose engines are still listed. */
	takeOrders(): readonly EngineOrder[] {
		const queue = this.#queue;
		this.#queue = [];
		return queue.flatMap(order => this.#toEngineOrder(order));
	}

	#toEngineOrder({spec, fencing, expiresAt}: QueuedOrder): readonly EngineOrder[] {
		const view = this.#targets.get(spec.targetId, this.#now);
		const validMs = Math.floor(expiresAt - this.#now - transitReserveMs);
		if (!view || validMs <= 0 || fencing !== this.#fencing) {
			this.#outbox.count('orders', 'expired');
			return [];
		}

		this.#outbox.count('orders', spec.action.type);
		return [{
			...spec, address: view.announcement.address, fencing, validMs,
		}];
	}

	#engines(now: Millis): readonly EngineState[] {
		return this.#targets.all(now)
			.filter(({announcement, suspension}) => announcement.kind === 'engine' && !suspension.leaving)
			.map(({targetId, announcement}) => ({
				targetId,
				service: `${announcement.firm}/${announcement.deployment}/${announcement.service}`,
				models: announcement.models,
				used: this.#usedAt.has(targetId),
				...(announcement.fencing !== undefined && {fencing: announcement.fencing}),
			}));
	}
}

function engineListVersion(engines: readonly EngineState[]): string {
	const text = JSON.stringify(engines);
	return `${text.length}-${hash32(text)}`;
}
