import type {Region} from '../ids/region.ts';
import type {EngineOrder} from './engine-order.ts';
import type {EngineState} from './engine-state.ts';

/** An engine as last reported, with its pending order. */
type Engine = {
	readonly state: EngineState;
	readonly region: Region;
	readonly pending?: EngineOrder['action'];
};

type Options = {
	/** Wanted replicas and size of the weights in bytes, by model. */
	readonly models: Readonly<Record<string, {readonly replicas: number; readonly bytes: number}>>;
	readonly engines: readonly Engine[];
	/** Regions that may hold replicas; undefined allows all. */
	readonly residency?: readonly Region[];
	/** Models named by a route of the service: they get requests, so their last replica is not unloaded. */
	readonly routedModels: ReadonlySet<string>;
	/** False while the engines of some region are unknown: nothing is unloaded then. */
	readonly allRegionsKnown: boolean;
};

type Planned = {
	readonly engine: Engine;
	readonly action: EngineOrder['action'];
};

/** Engines of one region: their number, how many hold the model, and the candidates for an order, best last. */
type RegionPool = {
	readonly engineCount: number;
	holderCount: number;
	readonly candidates: Engine[];
};

/**
 * Compares the wanted and the announced models of one service and plans at most one order for each engine. A missing
 * replica is loaded in the region with the smallest share of engines that hold the model, a surplus one is unloaded
 * in the region with the largest. Models that the settings don't name are left alone.
 */
export function planOrders(options: Options): readonly Planned[] {
	const planned: Planned[] = [];
	const busy = new Set(options.engines.filter(engine => engine.pending));
	for (const [model, {replicas, bytes}] of Object.entries(options.models)) {
		const held = options.engines.filter(engine => holds(engine, model)).length;
		const orders = held < replicas
			? planLoads(options, busy, {model, bytes, missing: replicas - held})
			: planUnloads(options, busy, {model, surplus: held - replicas, held});
		for (const order of orders) {
			busy.add(order.engine);
			planned.push(order);
		}
	}

	return planned;
}

function planLoads(options: Options, busy: ReadonlySet<Engine>, wanted: {model: string; bytes: number; missing: number}): readonly Planned[] {
	const {model, bytes, missing} = wanted;
	const pools = regionPools(options.engines, model, engine =>
		!busy.has(engine) && !holds(engine, model) && (options.residency?.includes(engine.region) ?? true));
	for (const {candidates} of pools) {
		candidates.sort((a, b) => b.state.models.length - a.state.models.length || compareIds(b.state.targetId, a.state.targetId));
	}

	return takeEngines(pools, missing, 1).map(engine => ({engine, action: {type: 'load', model, bytes}}));
}

function planUnloads(options: Options, busy: ReadonlySet<Engine>, wanted: {model: string; surplus: number; held: number}): readonly Planned[] {
	const {model, surplus, held} = wanted;
	if (surplus === 0 || !options.allRegionsKnown) {
		return [];
	}

	const pools = regionPools(options.engines, model, engine => !busy.has(engine) && holds(engine, model));
	for (const {candidates} of pools) {
		candidates.sort((a, b) => Number(b.state.used) - Number(a.state.used) || compareIds(b.state.targetId, a.state.targetId));
	}

	const taken = takeEngines(pools, surplus, -1);
	// The last replica stays while a route names the model or its engine was used lately.
	const last = taken.length === held ? taken.at(-1) : undefined;
	const retained = last && (options.routedModels.has(model) || last.state.used) ? last : undefined;
	return taken.filter(engine => engine !== retained).map(engine => ({engine, action: {type: 'unload', model}}));
}

function regionPools(allEngines: readonly Engine[], model: string, isCandidate: (engine: Engine) => boolean): readonly RegionPool[] {
	const regions = new Map<Region, Engine[]>();
	for (const engine of allEngines) {
		const members = regions.get(engine.region) ?? [];
		members.push(engine);
		regions.set(engine.region, members);
	}

	return [...regions.values()].map(members => ({
		engineCount: members.length,
		holderCount: members.filter(engine => holds(engine, model)).length,
		candidates: members.filter(engine => isCandidate(engine)),
	}));
}

/** Takes engines one by one from the region whose share of holders is then the smallest (direction 1) or the largest (-1). */
function takeEngines(pools: readonly RegionPool[], count: number, direction: 1 | -1): readonly Engine[] {
	const taken: Engine[] = [];
	while (taken.length < count) {
		const open = pools.filter(pool => pool.candidates.length > 0);
		const [first, ...rest] = open;
		if (!first) {
			break;
		}

		let best = first;
		for (const pool of rest) {
			best = direction * (holderShare(pool) - holderShare(best)) < 0 ? pool : best;
		}

		best.holderCount += direction;
		taken.push(best.candidates.pop()!);
	}

	return taken;
}

function holderShare(pool: RegionPool): number {
	return pool.holderCount / pool.engineCount;
}

/** True if the engine has the model, or will have it once its pending order is carried out. */
function holds(engine: Engine, model: string): boolean {
	if (engine.pending?.model === model) {
		return engine.pending.type === 'load';
	}

	return engine.state.models.includes(model);
}

function compareIds(a: string, b: string): number {
	return a < b ? -1 : 1;
}
