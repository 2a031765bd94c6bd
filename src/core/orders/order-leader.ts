import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {SettingsTree} from '../tree/settings-tree.ts';
import type {EngineOrder} from './engine-order.ts';
import type {EngineState} from './engine-state.ts';
import type {ModelLoadBudget} from './model-load-budget.ts';
import type {OrderSpec} from './order-spec.ts';
import type {OrdersMessage} from './orders-message.ts';
import {planOrders} from './plan-orders.ts';

/** Interval of report requests to each region's delegate, in milliseconds. */
const reportIntervalMs = 1000;

/** Time without a report after which the region's next entry becomes the delegate, in milliseconds. */
const delegateTimeoutMs = 3000;

/** Maximum age of a region's report at which its engines count as known, in milliseconds. */
const maxReportAgeMs = 5000;

/** Silence of a region after which its engines no longer count, so that what they held is loaded elsewhere, in milliseconds: as long as a missing replica may be missing before it is loaded. */
const lostRegionMs = 10_000;

/** Minimum validity of an order, in milliseconds; orders that would have less are not sent. */
const minValidMs = 150;

/** Time before the end of the lease at which orders expire at the latest, in milliseconds. */
const leaseMarginMs = 100;

/** Time for which a difference must last before a replica is loaded or unloaded, in milliseconds. */
const settleMs = {load: 10_000, unload: 60_000};

/** Time for which an engine that failed an order gets no further one, in milliseconds. */
const failureBackOffMs = 10_000;

/** Time that a load may take in addition to twice its duration at the store's rate, in milliseconds. */
const loadSlackMs = 60_000;

/** Time after the end of an order's validity within which its result must arrive, in milliseconds. */
const resultTimeoutMs = 5000;

/** Number of segments in the path of a service, and of its deployment. */
const servicePathLength = 3;
const deploymentPathLength = 2;

type FencedLease = {readonly fencing: number; readonly leaseUntil: Millis};

type Options = {
	readonly tree: () => SettingsTree;
	/** Live entries of every reachable region, including this node's own, in order of preference. */
	readonly entriesByRegion: () => ReadonlyArray<{readonly region: Region; readonly entries: readonly NodeId[]}>;
	readonly budget: ModelLoadBudget;
	readonly outbox: Outbox;
	readonly send: (to: NodeId, message: OrdersMessage) => void;
	/** Maximum remaining time of a former leader's lease, in milliseconds. */
	readonly leaseMs: number;
	/** Maximum validity of an order, in milliseconds. */
	readonly maxValidMs: number;
};

type RegionState = {
	delegateIndex: number;
	/** Entry of the region that reports its engines and passes orders to them. */
	delegate?: NodeId;
	requestedAt: number;
	/** Time of the first request without a report since. */
	waitingSince?: number;
	reportedAt: number;
	version?: string;
	engines: readonly EngineState[];
};

type PendingOrder = {
	readonly orderId: string;
	readonly action: EngineOrder['action'];
	/** Time at which the order is given up, so that the engine can get another one. */
	expiresAt: number;
	/** Time for which the engine may take to carry out an accepted order, in milliseconds. */
	readonly completionTimeoutMs: number;
	answered: boolean;
	failed: boolean;
};

type IssuedOrder = {readonly spec: OrderSpec; readonly completionTimeoutMs: number};
type Planned = ReturnType<typeof planOrders>[number];
type PlannedEngine = Planned['engine'];

/** The leader's side of the orders: requests reports from every region's delegate, plans loads and unloads, and sends orders that expire within its lease. */
export class OrderLeader {
	readonly #options: Options;
	#lease: FencedLease | undefined;
	/** Time from which no order of a former leader can still be valid. */
	#readyAt = 0;
	#orderCount = 0;
	readonly #regions = new Map<Region, RegionState>();
	readonly #pending = new Map<TargetId, PendingOrder>();
	#managedServices: {readonly revision: number; readonly services: readonly string[]} | undefined;
	/** Time since which loads or unloads have been needed, by action type, service and model. */
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

		for (const {region, entries} of this.#options.entriesByRegion()) {
			this.#requestReport(region, entries, lease, now);
		}

		this.#forgetLostRegions(now);
	}

	/** Handles a delegate's report: updates the region's engines and pending orders, and answers with new orders. */
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
		this.#sendOrders(from, {region, nonce: message.nonce, lease}, now);
	}

	/** Forgets the state of an earlier term; no order is sent until the orders of a former leader can't be valid any more. */
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

	/** Forgets the engines of regions that have been silent for long; they are listed anew once one reports again. */
	#forgetLostRegions(now: Millis): void {
		for (const state of this.#regions.values()) {
			if (now - state.reportedAt > lostRegionMs) {
				state.engines = [];
				state.version = undefined;
			}
		}
	}

	#state(region: Region): RegionState {
		const state = this.#regions.get(region) ?? {
			delegateIndex: 0, requestedAt: Number.NEGATIVE_INFINITY, reportedAt: Number.NEGATIVE_INFINITY, engines: [],
		};
		this.#regions.set(region, state);
		return state;
	}

	/** Extends an accepted order by its completion time; a refused one stays pending as a back-off for its engine. */
	#recordResult(orderId: string, ok: boolean, now: Millis): void {
		const pending = [...this.#pending.values()].find(order => order.orderId === orderId && !order.answered);
		if (pending) {
			pending.answered = true;
			pending.failed = !ok;
			pending.expiresAt = now + (ok ? pending.completionTimeoutMs : failureBackOffMs);
		}
	}

	/** Removes pending orders that the engines' models show as carried out, and expired ones. */
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

	#sendOrders(to: NodeId, context: {region: Region; nonce: number; lease: FencedLease}, now: Millis): void {
		const {region, nonce, lease} = context;
		const validMs = Math.min(this.#options.maxValidMs, lease.leaseUntil - now - leaseMarginMs);
		if (now < this.#readyAt || validMs < minValidMs) {
			return;
		}

		const orders = this.#services().flatMap(service => this.#ordersOf(service, region, lease, now));
		if (orders.length === 0) {
			return;
		}

		for (const order of orders) {
			this.#trackPending(order, validMs, now);
		}

		this.#options.send(to, {
			type: 'orders', fencing: lease.fencing, nonce, validMs, orders: orders.map(({spec}) => spec),
		});
	}

	#trackPending({spec, completionTimeoutMs}: IssuedOrder, validMs: number, now: Millis): void {
		this.#pending.set(spec.targetId, {
			orderId: spec.orderId,
			action: spec.action,
			expiresAt: now + validMs + resultTimeoutMs,
			completionTimeoutMs,
			answered: false,
			failed: false,
		});
	}

	/** Paths of the services that have wanted models (`firm/deployment/service`), cached per settings revision. */
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

	/** The planned actions whose difference lasted long enough; a model that no engine has is loaded at once. */
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

	/** True if every reachable region reported lately. */
	#allRegionsReported(now: Millis): boolean {
		return this.#options.entriesByRegion().every(({region}) => now - this.#state(region).reportedAt < maxReportAgeMs);
	}
}
