import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {SettingsTree} from '../tree/settings-tree.ts';
import type {EngineOrder} from './engine-order.ts';
import type {EngineState} from './engine-state.ts';
import type {LoadBudget} from './load-budget.ts';
import type {OrderSpec} from './order-spec.ts';
import type {OrdersMessage} from './orders-message.ts';
import {planOrders} from './plan-orders.ts';

/** Between two questions to each region's delegate, in milliseconds. */
const reportIntervalMs = 1000;

/** A delegate that does not report for this long is replaced by the region's next entry, in milliseconds. */
const delegateTimeoutMs = 3000;

/** A report older than this does not count as known, in milliseconds. */
const maxReportAgeMs = 5000;

/** An order is not given if its validity would be shorter, in milliseconds. */
const minValidMs = 150;

/** Part of the lease that orders leave unused, in milliseconds. */
const leaseMarginMs = 100;

/** How long a difference has to last before a replica is loaded or unloaded, in milliseconds. */
const settleMs = {load: 10_000, unload: 60_000};

/** An engine that failed an order gets no other one for this long, in milliseconds. */
const failureBackOffMs = 10_000;

/** Time that a load may take beyond what the store's rate says, in milliseconds. */
const loadSlackMs = 60_000;

/** Time for an order's result to come back after its validity, in milliseconds. */
const resultTimeoutMs = 5000;

/** Names in the path of a service, and of its deployment. */
const servicePathLength = 3;
const deploymentPathLength = 2;

type FencedLease = {readonly fencing: number; readonly leaseUntil: Millis};

type Options = {
	readonly tree: () => SettingsTree;
	/** Entries of every region that can be reached, this node's own included, best first. */
	readonly delegates: () => ReadonlyArray<{readonly region: Region; readonly entries: readonly NodeId[]}>;
	readonly budget: LoadBudget;
	readonly outbox: Outbox;
	readonly send: (to: NodeId, message: OrdersMessage) => void;
	/** Longest time that a former leader's lease can still run, in milliseconds. */
	readonly leaseMs: number;
	/** Longest validity of an order, in milliseconds. */
	readonly maxValidMs: number;
};

type RegionState = {
	delegateIndex: number;
	/** The entry that stands for the region now. */
	delegate?: NodeId;
	requestedAt: number;
	/** First question that was not answered yet. */
	waitingSince?: number;
	reportedAt: number;
	version?: string;
	engines: readonly EngineState[];
};

type PendingOrder = {
	readonly orderId: string;
	readonly action: EngineOrder['action'];
	/** When the order is given up, so that the engine may get another one. */
	expiresAt: number;
	/** How long the engine may take once it accepted the order, in milliseconds. */
	readonly completionTimeoutMs: number;
	answered: boolean;
	failed: boolean;
};

type IssuedOrder = {readonly spec: OrderSpec; readonly completionTimeoutMs: number};
type Planned = ReturnType<typeof planOrders>[number];
type PlannedEngine = Planned['engine'];

/** The leader's side of the orders: asks every region's delegate, plans and gives orders inside its lease. */
export class OrderLeader {
	readonly #options: Options;
	#lease: FencedLease | undefined;
	/** First time at which no order of a former leader can be valid any more. */
	#readyAt = 0;
	#orderCount = 0;
	readonly #regions = new Map<Region, RegionState>();
	readonly #pending = new Map<TargetId, PendingOrder>();
	#managedServices: {readonly revision: number; readonly services: readonly string[]} | undefined;
	/** When a model's replicas first differed from what is wanted, by service and model. */
	readonly #differsSince = new Map<string, number>();

	constructor(options: Options) {
		this.#options = options;
	}

	tick(lease: FencedLease | undefined, now: Millis): void {
		const newTerm = lease !== undefined && lease.fencing !== this.#lease?.fencing;
		if (newTerm) {
			this.#startTerm(now);
		}

		this.#lease = lease;
		if (!lease) {
			return;
		}

		for (const {region, entries} of this.#options.delegates()) {
			this.#requestReport(region, entries, lease, now);
		}
	}

	/** A delegate reported: its region's engines are read back and get their orders. */
	handleReport(from: NodeId, message: Extract<OrdersMessage, {type: 'report'}>, now: Millis): void {
		const lease = this.#lease;
		const found = [...this.#regions].find(([, state]) => state.delegate === from);
		const current = message.fencing === lease?.fencing;
		if (!found || !lease || !current) {
			this.#options.outbox.count('stale_messages', 'orders');
			return;
		}

		const [region, state] = found;
		state.reportedAt = now;
		state.waitingSince = undefined;
		state.version = message.version;
		state.engines = message.engines ?? state.engines;
		for (const {orderId, ok} of message.results) {
			this.#recordResult(orderId, ok, now);
		}

		this.#clearPending(state, now);
		this.#sendOrders(from, {region, nonce: message.nonce, lead: lease}, now);
	}

	#startTerm(now: Millis): void {
		this.#readyAt = now + this.#options.leaseMs + this.#options.maxValidMs;
		this.#regions.clear();
		this.#pending.clear();
		this.#differsSince.clear();
		this.#options.budget.restart(now);
	}

	#requestReport(region: Region, entries: readonly NodeId[], lease: FencedLease, now: Millis): void {
		const state = this.#state(region);
		if (entries.length === 0 || now - state.requestedAt < reportIntervalMs) {
			return;
		}

		state.waitingSince ??= now;
		const gone = state.delegate !== undefined && !entries.includes(state.delegate);
		if (gone || now - state.waitingSince >= delegateTimeoutMs) {
			state.delegateIndex += 1;
			state.version = undefined;
			state.waitingSince = now;
		}

		state.requestedAt = now;
		state.delegate = entries[state.delegateIndex % entries.length]!;
		this.#options.send(state.delegate, {
			type: 'lead', fencing: lease.fencing, ...(state.version !== undefined && {known: state.version}),
		});
	}

	#state(region: Region): RegionState {
		const state = this.#regions.get(region) ?? {
			delegateIndex: 0, requestedAt: Number.NEGATIVE_INFINITY, reportedAt: Number.NEGATIVE_INFINITY, engines: [],
		};
		this.#regions.set(region, state);
		return state;
	}

	/** A load that was accepted takes its time; a refused order is not repeated at once. */
	#recordResult(orderId: string, ok: boolean, now: Millis): void {
		const pending = [...this.#pending.values()].find(order => order.orderId === orderId && !order.answered);
		if (pending) {
			pending.answered = true;
			pending.failed = !ok;
			pending.expiresAt = now + (ok ? pending.completionTimeoutMs : failureBackOffMs);
		}
	}

	/** Forgets orders that engines show as carried out, and those that nothing came of. */
	#clearPending(state: RegionState, now: Millis): void {
		for (const {targetId, models} of state.engines) {
			const pending = this.#pending.get(targetId);
			const shouldHold = pending?.action.type === 'load';
			if (pending && !pending.failed && models.includes(pending.action.model) === shouldHold) {
				this.#pending.delete(targetId);
			}
		}

		for (const [targetId, pending] of this.#pending) {
			if (now >= pending.expiresAt) {
				this.#pending.delete(targetId);
			}
		}
	}

	#sendOrders(to: NodeId, context: {region: Region; nonce: number; lead: FencedLease}, now: Millis): void {
		const {region, nonce, lead} = context;
		const validMs = Math.min(this.#options.maxValidMs, lead.leaseUntil - now - leaseMarginMs);
		if (now < this.#readyAt || validMs < minValidMs) {
			return;
		}

		const orders = this.#services().flatMap(service => this.#ordersOf(service, region, lead, now));
		if (orders.length === 0) {
			return;
		}

		for (const order of orders) {
			this.#trackPending(order, validMs, now);
		}

		this.#options.send(to, {
			type: 'orders', fencing: lead.fencing, nonce, validMs, orders: orders.map(({spec}) => spec),
		});
	}

	#trackPending({spec, completionTimeoutMs: patienceMs}: IssuedOrder, validMs: number, now: Millis): void {
		this.#pending.set(spec.targetId, {
			orderId: spec.orderId,
			action: spec.action,
			expiresAt: now + validMs + resultTimeoutMs,
			completionTimeoutMs: patienceMs,
			answered: false,
			failed: false,
		});
	}

	/** Services with wanted models (`firm/deployment/service`); collected once for each settings revision. */
	#services(): readonly string[] {
		const tree = this.#options.tree();
		if (this.#managedServices?.revision !== tree.revision) {
			const services = tree.paths().filter(path =>
				path.split('/').length === servicePathLength && Object.keys(tree.resolve(path)?.models ?? {}).length > 0);
			this.#managedServices = {revision: tree.revision, services};
		}

		return this.#managedServices.services;
	}

	#ordersOf(service: string, region: Region, lease: FencedLease, now: Millis): readonly IssuedOrder[] {
		const settings = this.#options.tree().resolve(service)!;
		const planned = planOrders({
			models: settings.models,
			engines: this.#engines(service),
			residency: settings.residency,
			routedModels: this.#routedModels(service),
			allRegionsKnown: this.#allRegionsReported(now),
		});
		const settled = this.#settledActions(service, settings, planned, now);
		return settled
			.filter(({engine}) => engine.region === region && (engine.state.fencing ?? 0) <= lease.fencing)
			.flatMap(({engine, action}) => this.#issueOrder(engine.state, action, settings, now));
	}

	#issueOrder(engine: EngineState, action: EngineOrder['action'], settings: RouteSettings, now: Millis): readonly IssuedOrder[] {
		const rate = settings.weightStoreBytesPerSecond;
		const deployment = engine.service.split('/').slice(0, deploymentPathLength).join('/');
		if (action.type === 'load' && !this.#options.budget.take(deployment, action.bytes, rate, now)) {
			return [];
		}

		this.#orderCount += 1;
		const orderId = `${this.#lease!.fencing}-${this.#orderCount}`;
		const storeMs = action.type === 'load' ? action.bytes * 1000 / rate : 0;
		return [{spec: {orderId, targetId: engine.targetId, action}, completionTimeoutMs: (2 * storeMs) + loadSlackMs}];
	}

	#engines(service: string): readonly PlannedEngine[] {
		return [...this.#regions].flatMap(([region, {engines}]) => engines
			.filter(state => state.service === service)
			.map(state => ({state, region, pending: this.#pending.get(state.targetId)?.action})));
	}

	/** Differences that lasted long enough; a model that no engine has is loaded at once. */
	#settledActions(service: string, settings: RouteSettings, planned: readonly Planned[], now: Millis): readonly Planned[] {
		for (const model of Object.keys(settings.models)) {
			for (const type of ['load', 'unload'] as const) {
				const key = `${type} ${service} ${model}`;
				if (planned.some(({action}) => action.type === type && action.model === model)) {
					this.#differsSince.set(key, this.#differsSince.get(key) ?? now);
				} else {
					this.#differsSince.delete(key);
				}
			}
		}

		const held = new Set(this.#engines(service).flatMap(({state}) => state.models));
		return planned.filter(({action}) => {
			const since = this.#differsSince.get(`${action.type} ${service} ${action.model}`)!;
			const urgent = action.type === 'load' && !held.has(action.model);
			return urgent || now - since >= settleMs[action.type];
		});
	}

	#routedModels(service: string): ReadonlySet<string> {
		const tree = this.#options.tree();
		const routes = tree.paths().filter(path => path.startsWith(`${service}/`));
		return new Set(routes.map(path => tree.resolve(path)?.model).filter(model => model !== undefined));
	}

	/** True if every region that can be reached reported lately. */
	#allRegionsReported(now: Millis): boolean {
		return this.#options.delegates().every(({region}) => now - this.#state(region).reportedAt < maxReportAgeMs);
	}
}
