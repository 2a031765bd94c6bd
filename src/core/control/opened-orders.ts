import type {Millis} from '../ids/millis.ts';
import type {Zone} from '../ids/zone.ts';
import type {RoutesCommand} from '../routes/routes-command.ts';

type Evacuation = RoutesCommand & {type: 'evacuation'};

/** `opening` tells it from an earlier opening of the same order, which has expired; `index` is the end of the leader's log at that time. */
type OpenedOrder = {readonly opening: string; readonly index: number; readonly expiresAt: Millis};

/** `superseded`: a contrary order for the zone was appended since the order was opened; `unknown`: it was not opened here, or its operator waits no more. */
type OrderState = 'current' | 'superseded' | 'unknown';

/**
 * Orders that control nodes have opened at a leader in one term, while their operators wait. Only an order that is open
 * is appended, so that a proposal that was held up between two nodes is not taken for a new one. An order that changes
 * nothing leaves no trace in the replicated state, so contrary orders that were opened before it are refused here.
 */
export class OpenedOrders {
	// eslint-disable-next-line no-restricted-syntax -- by open calls of control nodes, each of which expires in time
	readonly #orders = new Map<string, OpenedOrder>();
	/** The newest order that was appended for each zone. */
	readonly #newest = new Map<Zone, {readonly active: boolean; readonly index: number}>();
	#lastOpening = 0;

	constructor(readonly term: number) {}

	/** Opens an order at the present end of the log, unless it is open. */
	open(callId: string, {index, expiresAt}: Omit<OpenedOrder, 'opening'>): OpenedOrder {
		const known = this.#orders.get(callId);
		if (known !== undefined) {
			return known;
		}

		this.#lastOpening += 1;
		const order = {opening: `${this.term}-${this.#lastOpening}`, index, expiresAt};
		this.#orders.set(callId, order);
		return order;
	}

	stateOf(callId: string, opening: string, {zone, active}: Evacuation, now: Millis): OrderState {
		const order = this.#orders.get(callId);
		if (order?.opening !== opening || now > order.expiresAt) {
			return 'unknown';
		}

		const newest = this.#newest.get(zone);
		return newest !== undefined && newest.active !== active && newest.index > order.index ? 'superseded' : 'current';
	}

	/** Records an order that was appended. A repetition of the newest one that was opened before it is not newer. */
	recordAppended(callId: string, {zone, active}: Evacuation, index: number): void {
		const newest = this.#newest.get(zone);
		const openedAt = this.#orders.get(callId)?.index ?? index;
		if (newest?.active !== active || openedAt >= newest.index) {
			this.#newest.set(zone, {active, index});
		}
	}

	expire(now: Millis): void {
		for (const [callId, {expiresAt}] of this.#orders) {
			if (now > expiresAt) {
				this.#orders.delete(callId);
			}
		}
	}
}
