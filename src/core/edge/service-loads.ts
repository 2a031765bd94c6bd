import type {Millis} from '../ids/millis.ts';
import type {ServiceLoad} from '../registry/service-load.ts';
import type {RouteTable} from '../routes/route-table.ts';
import {rankLocalTargets} from './rank-local-targets.ts';
import type {RegionSelector} from './region-selector.ts';
import type {TargetPool} from './target-pool.ts';
import type {WaitQueue} from './wait-queue.ts';

/** Assumed time until a full target has room for another request, in milliseconds. */
const fullTargetWaitMs = 300;

type Options = {
	readonly table: RouteTable | undefined;
	readonly pool: TargetPool;
	readonly regions: RegionSelector;
	readonly waiting: WaitQueue;
};

/** Load of each service at this entry and its targets, as the entry reports it to control; services without targets and waiting requests are left out. */
export function serviceLoads({table, pool, regions, waiting}: Options, now: Millis): readonly ServiceLoad[] {
	const services = table?.document.services ?? [];
	return services.map(spec => {
		const targets = pool.usable(spec.name, now);
		// A prompt of one token gives the times and costs that do not depend on the request.
		const prompt = spec.engine && {parts: [], promptTokens: 1, outputTokens: 1};
		const [best] = rankLocalTargets({
			prompt,
			spec,
			targets,
			limitEntries: regions.limitEntries(prompt !== undefined),
			objectiveMs: Number.POSITIVE_INFINITY,
			leftMs: Number.POSITIVE_INFINITY,
		}, now);
		// `best.startMs` of a call is the time to its answer; without the duration of the call it is the time until the call starts.
		const costs = pool.costs.of(spec.name).summary();
		return {
			service: spec.name,
			targets: targets.length,
			softwareVersions: [...new Set(targets.map(({listed}) => listed.softwareVersion))],
			inFlight: targets.reduce((sum, target) => sum + target.attempts.size, 0),
			waiting: waiting.size(spec.name),
			startMs: best === undefined ? 0 : Math.round(best.startMs + (best.hasRoom ? 0 : fullTargetWaitMs) - (prompt === undefined ? best.target.callMs(now) : 0)),
			extraMs: best === undefined ? 0 : Math.round(best.costMs - best.startMs),
			...costs !== undefined && {costs},
		};
	}).filter(({targets, waiting: count}) => targets > 0 || count > 0);
}
