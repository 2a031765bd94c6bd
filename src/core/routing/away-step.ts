import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {RegionView} from '../membership/region-view.ts';
import type {ServiceSummary} from '../targets/service-summary.ts';
import {AwayMemory} from './away-memory.ts';
import {objective} from './objective.ts';
import {predictAway} from './predict-away.ts';
import {ResidencyStep} from './residency-step.ts';
import type {RouteDecision} from './route-decision.ts';
import type {RouteQuery} from './route-query.ts';
import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/** Factor on the penalty before the first forward; afterwards the penalty alone counts (hysteresis). */
const startFactor = 1.5;

/** Sums older than this are not used: the region counts as having no room. */
const oldestSumsMs = 15_000;

/** Part of the age of the sums that is added to a prediction made from them. */
const ageShare = 0.1;

/** Largest share of a region's capacity that forwards from outside may fill it to. */
const fullestRegion = 0.9;

/** Services whose forwards are remembered at most. */
const mostServices = 512;

/**
 * Forwards a request to another region if that is predicted to be faster by more than the route's penalty.
 * A request that was forwarded before is never forwarded again.
 */
export class AwayStep implements RoutingStep {
	readonly #random: Random;
	readonly #memories = new Map<string, AwayMemory>();

	constructor(options: {random: Random}) {
		this.#random = options.random;
	}

	run(context: RoutingContext): RouteDecision | undefined {
		const {query} = context;
		if (query.req.forwardedBy) {
			return undefined;
		}

		const memory = this.#memory(query);
		const options = query.regions
			.map(view => this.#option(view, query, memory))
			.filter(option => option !== undefined);
		if (!this.#withinBytes(query)) {
			return undefined;
		}

		return this.#decide(context, options, memory);
	}

	#decide(context: RoutingContext, options: readonly AwayOption[], memory: AwayMemory): RouteDecision | undefined {
		const {best, query} = context;
		const sorted = options.toSorted((a, b) => a.predictedMs - b.predictedMs);
		const fastest = sorted[0];
		if (!fastest) {
			return undefined;
		}

		const homeMs = best?.score ?? Number.POSITIVE_INFINITY;
		const factor = memory.forwarding(fastest.view.region) ? 1 : startFactor;
		const gainMs = homeMs - fastest.predictedMs;
		if (gainMs <= query.settings.awayPenaltyMs * factor) {
			memory.stayed();
			return undefined;
		}

		const ramp = memory.ramp(fastest.view.region, query.now);
		if (best && this.#random.next() >= ramp) {
			return undefined;
		}

		memory.sent(fastest.view.region, query.now);
		return {type: 'away', region: fastest.view.region, predictedMs: fastest.firstByteMs};
	}

	#option(view: RegionView, query: RouteQuery, memory: AwayMemory): AwayOption | undefined {
		const summary = this.#summary(view, query);
		memory.observe(view, summary !== undefined, query.now);
		if (!summary || query.tried.regions.has(view.region) || !ResidencyStep.allows(query, view.region)) {
			return undefined;
		}

		const sumsAt = query.now - view.ageMs as Millis;
		const times = predictAway(view, summary, {req: query.req, sentSince: memory.sentSince(view.region, sumsAt)});
		if (times.fill >= fullestRegion) {
			return undefined;
		}

		const predictedMs = objective(times) + (view.ageMs * ageShare);
		return {view, predictedMs, firstByteMs: times.firstByteMs};
	}

	/** The region's sums of the service, if the region can be reached and has the model. */
	#summary(view: RegionView, query: RouteQuery): ServiceSummary | undefined {
		if (!view.reachable || view.entries.length === 0 || view.ageMs > oldestSumsMs) {
			return undefined;
		}

		const {firm, deployment, service} = query.req.path;
		const model = query.settings.model ?? query.req.model;
		return view.services.find(summary =>
			summary.firm === firm && summary.deployment === deployment && summary.service === service
			&& summary.targets > 0 && (model === undefined || summary.models.includes(model)));
	}

	#withinBytes(query: RouteQuery): boolean {
		return query.awayBytesLastSecond + query.req.bodyBytes <= query.settings.awayBytesPerSecond;
	}

	#memory(query: RouteQuery): AwayMemory {
		const {firm, deployment, service} = query.req.path;
		const key = `${firm}/${deployment}/${service}`;
		const memory = this.#memories.get(key) ?? new AwayMemory();
		this.#memories.delete(key);
		this.#memories.set(key, memory);
		if (this.#memories.size > mostServices) {
			const [oldest] = this.#memories.keys();
			this.#memories.delete(oldest!);
		}

		return memory;
	}
}

type AwayOption = {
	readonly view: RegionView;
	/** Predicted milliseconds to the whole answer, with the uncertainty of old sums. */
	readonly predictedMs: number;
	readonly firstByteMs: number;
};
