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

/** An engine without work for this long counts as unused, in milliseconds. */
const unusedAfterMs = 60_000;

/** Reports whose answer may still come. */
const maxOpenReports = 4;

/** Results that are reported again in case that a report was lost. */
const maxResults = 64;

/** Validity that is left unused for the way to the engine, in milliseconds. */
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

/** One region's side of the orders: reads engines back for the leader and gives its orders to them while they are valid. */
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

	/** A leader asks for a report; one with an older fencing number than seen before is ignored. */
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
	 * Orders of the leader. Their validity counts from when the report was sent, before the leader decided:
	 * however late they come, they end before the leader's lease does.
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

	/** Orders to send to engines now. */
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
			.filter(({announcement}) => announcement.kind === 'engine' && announcement.state === 'serving')
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
