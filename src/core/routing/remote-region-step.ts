import type {Random} from '../common/random.ts';
import type {Millis} from '../ids/millis.ts';
import type {RegionView} from '../membership/region-view.ts';
import type {ServiceSummary} from '../targets/service-summary.ts';
import {ForwardingHistory} from './forwarding-history.ts';
import {objective} from './objective.ts';
import {predictRemoteWork} from './predict-remote-work.ts';
import {residencyAllows} from './residency-allows.ts';
import type {RouteDecision} from './route-decision.ts';
import type {RouteQuery} from './route-query.ts';
import type {RoutingContext} from './routing-context.ts';
import type {RoutingStep} from './routing-step.ts';

/** Factor on the penalty for the first forward to a region; later forwards need only exceed the penalty (hysteresis). */
const firstForwardFactor = 1.5;

/** Region summaries older than this are not used, in milliseconds: the region counts as having no room. */
const maxSummaryAgeMs = 15_000;

/** Share of a summary's age that is added to predictions made from it, since its load may have changed. */
const ageUncertainty = 0.1;

/** Largest share of a region's capacity up to which other regions may forward to it. */
const maxRegionFill = 0.9;

/** Largest number of services with a forwarding history. */
const maxServices = 512;

/**
 * Forwards a request to another region if its predicted time there is shorter by more than the route's penalty.
 * A request that was forwarded already is never forwarded again.
 */
export class RemoteRegionStep implements RoutingStep {
	readonly #random: Random;
	readonly #histories = new Map<string, ForwardingHistory>();

	constructor(options: {random: Random}) {
		this.#random = options.random;
	}

	run(context: RoutingContext): RouteDecision | undefined {
		const {query} = context;
		if (query.req.forwardedBy) {
			return undefined;
		}

		const history = this.#history(query);
		const candidates = query.regions
			.map(view => this.#candidate(view, query, history))
			.filter(candidate => candidate !== undefined);
		if (!this.#withinByteBudget(query)) {
			return undefined;
		}

		return this.#decide(context, candidates, history);
	}

	#decide(context: RoutingContext, candidates: readonly RemoteCandidate[], history: ForwardingHistory): RouteDecision | undefined {
		const {best, query} = context;
		const sorted = candidates.toSorted((a, b) => a.predictedMs - b.predictedMs);
		const fastest = sorted[0];
		if (!fastest) {
			return undefined;
		}

		const localMs = best?.score ?? Number.POSITIVE_INFINITY;
		const factor = history.isForwarding(fastest.view.region) ? 1 : firstForwardFactor;
		const gainMs = localMs - fastest.predictedMs;
		if (gainMs <= query.settings.awayPenaltyMs * factor) {
			history.recordLocalChoice();
			return undefined;
		}

		const ramp = history.rampShare(fastest.view.region, query.now);
		if (best && this.#random.next() >= ramp) {
			return undefined;
		}

		history.recordForward(fastest.view.region, query.now);
		return {type: 'away', region: fastest.view.region, predictedMs: fastest.firstByteMs};
	}

	#candidate(view: RegionView, query: RouteQuery, history: ForwardingHistory): RemoteCandidate | undefined {
		const summary = this.#summary(view, query);
		history.observe(view, summary !== undefined, query.now);
		if (!summary || query.tried.regions.has(view.region) || !residencyAllows(query, view.region)) {
			return undefined;
		}

		const summaryAt = query.now - view.ageMs as Millis;
		const times = predictRemoteWork(view, summary, {req: query.req, forwardsSince: history.forwardsSince(view.region, summaryAt)});
		if (times.fill >= maxRegionFill) {
			return undefined;
		}

		const predictedMs = objective(times) + (view.ageMs * ageUncertainty);
		return {view, predictedMs, firstByteMs: times.firstByteMs};
	}

	/** The region's summary of the service, if it is recent and the region is reachable, has entries and targets, and has the model. */
	#summary(view: RegionView, query: RouteQuery): ServiceSummary | undefined {
		if (!view.reachable || view.entries.length === 0 || view.ageMs > maxSummaryAgeMs) {
			return undefined;
		}

		const {firm, deployment, service} = query.req.path;
		const model = query.settings.model ?? query.req.model;
		return view.services.find(summary =>
			summary.firm === firm && summary.deployment === deployment && summary.service === service
			&& summary.targets > 0 && (model === undefined || summary.models.includes(model)));
	}

	#withinByteBudget(query: RouteQuery): boolean {
		return query.remoteBytesLastSecond + query.req.bodyBytes <= query.settings.awayBytesPerSecond;
	}

	#history(query: RouteQuery): ForwardingHistory {
		const {firm, deployment, service} = query.req.path;
		const key = `${firm}/${deployment}/${service}`;
		const history = this.#histories.get(key) ?? new ForwardingHistory();
		this.#histories.delete(key);
		this.#histories.set(key, history);
		if (this.#histories.size > maxServices) {
			const [oldest] = this.#histories.keys();
			this.#histories.delete(oldest!);
		}

		return history;
	}
}

type RemoteCandidate = {
	readonly view: RegionView;
	/** Predicted cost in milliseconds as given by `objective`, plus a share of the summary's age. */
	readonly predictedMs: number;
	/** Predicted milliseconds to the first byte of the answer. */
	readonly firstByteMs: number;
};
