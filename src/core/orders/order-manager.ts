import type {Outbox} from '../common/outbox.ts';
import type {LogCommand} from '../consensus/log-command.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {TargetTable} from '../targets/target-table.ts';
import type {SettingsTree} from '../tree/settings-tree.ts';
import type {EngineOrder} from './engine-order.ts';
import {ModelLoadBudget} from './model-load-budget.ts';
import {OrderDelegate} from './order-delegate.ts';
import {OrderLeader} from './order-leader.ts';
import type {Orders} from './orders.ts';
import type {OrdersMessage} from './orders-message.ts';

type Options = {
	readonly tree: () => SettingsTree;
	/** Targets of this node's region. */
	readonly targets: TargetTable;
	/** Live entries of every reachable region, including this node's own, in order of preference. */
	readonly entriesByRegion: () => ReadonlyArray<{readonly region: Region; readonly entries: readonly NodeId[]}>;
	readonly outbox: Outbox;
	/** Proposes a command to the replicated log; called only while this node leads. */
	readonly propose: (command: LogCommand, now: Millis) => void;
	/** A deployment's weight-store budget as committed in the replicated log. */
	readonly loggedBudget: (deployment: string) => {readonly bytes: number; readonly at: number} | undefined;
	/** Maximum remaining time of a former leader's lease, in milliseconds. @default 1000 */
	readonly leaseMs?: number;
	/** Maximum validity of an order, in milliseconds. @default 2000 */
	readonly maxValidMs?: number;
};

/**
 * Orders to engines. The leader of the replicated log compares wanted and announced models; one entry of each region,
 * its delegate, reports the region's engines and passes the orders to them.
 *
 * The orders of two leaders never mix, even at engines that ignore fencing numbers: an order is valid for less than
 * the rest of its leader's lease, counted from before the leader decided; a delegate drops orders with a lower fencing
 * number than it has seen; a new leader waits until no order of a former leader can be valid.
 */
export class OrderManager implements Orders {
	readonly #leader: OrderLeader;
	readonly #delegate: OrderDelegate;

	constructor(options: Options) {
		const {tree, targets, entriesByRegion, outbox, propose, loggedBudget, leaseMs = 1000, maxValidMs = 2000} = options;
		const send = (to: NodeId, body: OrdersMessage) => {
			outbox.send(to, {part: 'orders', body});
		};

		const budget = new ModelLoadBudget({
			propose(deployment, bytes, at) {
				propose({
					type: 'weight-budget', deployment, bytes, at,
				}, at as Millis);
			},
			logged: loggedBudget,
		});
		this.#leader = new OrderLeader({
			tree, entriesByRegion, budget, outbox, send, leaseMs, maxValidMs,
		});
		this.#delegate = new OrderDelegate({targets, outbox, report: send});
	}

	tick(lease: {fencing: number; leaseUntil: Millis} | undefined, now: Millis): void {
		this.#delegate.tick(now);
		this.#leader.tick(lease, now);
	}

	handle(from: NodeId, message: OrdersMessage, now: Millis): void {
		switch (message.type) {
			case 'lead': {
				this.#delegate.handleLead(from, message, now);
				break;
			}

			case 'report': {
				this.#leader.handleReport(from, message, now);
				break;
			}

			case 'orders': {
				this.#delegate.handleOrders(message);
				break;
			}
		}
	}

	result(orderId: string, ok: boolean, _reason: string | undefined, _now: Millis): void {
		this.#delegate.recordResult(orderId, ok);
	}

	takeOrders(): readonly EngineOrder[] {
		return this.#delegate.takeOrders();
	}
}
