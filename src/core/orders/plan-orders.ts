import type {Region} from '../ids/region.ts';
import type {EngineOrder} from './engine-order.ts';
import type {EngineState} from './engine-state.ts';

/** One engine as the planner sees it: read back, with the order under way. */
type Engine = {
	readonly state: EngineState;
	readonly region: Region;
	readonly pending?: EngineOrder['action'];
};

type Options = {
	/** Wanted replicas by model. */
	readonly models: Readonly<Record<string, {readonly replicas: number; readonly bytes: number}>>;
	readonly engines: readonly Engine[];
	/** Regions that may hold replicas; undefined allows all. */
	readonly residency?: readonly Region[];
	/** Models that a route of the service names: they have traffic. */
	readonly routed: ReadonlySet<string>;
	/** False while a region's engines are not known: nothing is unloaded then. */
	readonly complete: boolean;
};

type Planned = {
	readonly engine: Engine;
	readonly action: EngineOrder['action'];
};

/**
 * Compares wanted with announced models of one service. Missing replicas go to the region with the smallest
 * share of them, surplus ones leave the region with the largest. Models that no setting names are left alone.
 */
export function planOrders(options: Options): readonly Planned[] {
	const engines = [...options.engines];
	const planned: Planned[] = [];
	for (const [model, {replicas, bytes}] of Object.entries(options.models)) {
		for (;;) {
			const next = nextOrder({...options, engines}, {model, replicas, bytes});
			if (!next) {
				break;
			}

			planned.push(next);
			engines[engines.indexOf(next.engine)] = {...next.engine, pending: next.action};
		}
	}

	return planned;
}

function nextOrder(options: Options, wanted: {model: string; replicas: number; bytes: number}): Planned | undefined {
	const {model, replicas, bytes} = wanted;
	const holders = options.engines.filter(engine => holds(engine, model));
	if (holders.length < replicas) {
		const engine = engineToLoad(options, model);
		return engine && {engine, action: {type: 'load', model, bytes}};
	}

	if (holders.length > replicas && options.complete) {
		const engine = engineToUnload(options, holders, model);
		return engine && {engine, action: {type: 'unload', model}};
	}

	return undefined;
}

/** True if the engine has the model, or will have it once its order is carried out. */
function holds(engine: Engine, model: string): boolean {
	if (engine.pending?.model === model) {
		return engine.pending.type === 'load';
	}

	return engine.state.models.includes(model);
}

function engineToLoad(options: Options, model: string): Engine | undefined {
	const open = options.engines.filter(engine =>
		!engine.pending && !holds(engine, model) && (options.residency?.includes(engine.region) ?? true));
	return open.sort((a, b) =>
		share(options.engines, a.region, model) - share(options.engines, b.region, model)
		|| a.state.models.length - b.state.models.length
		|| compare(a.state.targetId, b.state.targetId))[0];
}

function engineToUnload(options: Options, holders: readonly Engine[], model: string): Engine | undefined {
	const last = holders.length === 1;
	if (last && options.routed.has(model)) {
		return undefined;
	}

	const open = holders.filter(engine => !engine.pending && !(last && engine.state.used));
	return open.sort((a, b) =>
		share(options.engines, b.region, model) - share(options.engines, a.region, model)
		|| Number(a.state.used) - Number(b.state.used)
		|| compare(a.state.targetId, b.state.targetId))[0];
}

/** Share of a region's engines that hold the model. */
function share(engines: readonly Engine[], region: Region, model: string): number {
	const own = engines.filter(engine => engine.region === region);
	return own.filter(engine => holds(engine, model)).length / own.length;
}

function compare(a: string, b: string): number {
	return a < b ? -1 : 1;
}
