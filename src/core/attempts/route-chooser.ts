import type {Millis} from '../ids/millis.ts';
import type {TargetId} from '../ids/target-id.ts';
import {residencyAllows} from '../routing/residency-allows.ts';
import type {RouteDecision} from '../routing/route-decision.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {Refusal} from '../results/refusal.ts';
import {retryAfterPauseMs} from '../targets/retry-after-pause-ms.ts';
import type {TargetView} from '../targets/target-view.ts';
import type {CoordinatorOptions} from './coordinator-options.ts';
import type {RequestState} from './request-state.ts';
import {mayResumeOn} from './may-resume-on.ts';
import {remainingRequest} from './remaining-request.ts';

/** Refusals for want of a target that can take the request now. */
const capacityResults: ReadonlySet<Refusal['result']> = new Set<Refusal['result']>(['noTarget', 'overloaded', 'deadline']);

const noTargets: ReadonlySet<TargetId> = new Set();

/** Builds the routing query of a request from the node's current state and returns the router's decision. */
export class RouteChooser {
	readonly #parts: CoordinatorOptions;

	constructor(parts: CoordinatorOptions) {
		this.#parts = parts;
	}

	/** Decides where a request goes. `alone` excludes targets that run another suspect or may have crashed. */
	choose(state: RequestState, settings: RouteSettings, context: {alone: boolean; remoteBytesLastSecond: number; waiting: number}, now: Millis): RouteDecision {
		const {router, region} = this.#parts;
		// The region that receives a forwarded request checks residency again, under its own settings.
		if (state.req.forwardedBy && !residencyAllows({req: state.req, settings}, region)) {
			return {type: 'refuse', refusal: {result: 'residency', ran: 'no'}};
		}

		const serving = this.#targets(state, settings, now);
		const reachable = serving.filter(({reachability}) => reachability.reachable);
		const targets = reachable.filter(({suspension}) => suspension.remainingMs(now) === 0);
		const isCutOff = serving.length > 0 && reachable.length === 0;
		const excluded = this.#excluded(state, targets, context.alone, now);
		const route = (excludedTargets: ReadonlySet<TargetId>) => router.choose({
			req: remainingRequest(state),
			settings,
			now,
			region,
			targets,
			regions: this.#regions(state, isCutOff, now),
			waiting: context.waiting,
			tried: {targets: excludedTargets, regions: state.triedRegions},
			alone: context.alone,
			remoteBytesLastSecond: context.remoteBytesLastSecond,
		});
		const crashSuspected = this.#crashSuspectedTargets(targets);
		const preferred = crashSuspected.length > 0 && !context.alone ? route(new Set([...excluded, ...crashSuspected])) : undefined;
		const decision = preferred?.type === 'target' ? preferred : route(excluded);
		if (decision.type === 'away' && state.req.forwardedBy) {
			return {type: 'refuse', refusal: {result: 'hopLimit', ran: 'no'}};
		}

		const mayWait = context.alone && decision.type === 'refuse' && decision.refusal.result !== 'residency' && this.#mayBecomeAvailable(state, targets, now);
		if (mayWait) {
			return {type: 'wait', predictedMs: 0};
		}

		const paused = reachable.filter(({suspension}) => suspension.pausedMs(now) > 0);
		return decision.type === 'refuse' && capacityResults.has(decision.refusal.result) && paused.length > 0
			? this.#awaitPauses(state, {refusal: decision.refusal, paused, hasTargets: targets.length > 0}, now)
			: decision;
	}

	/** Time after which the caller of a request should retry, in milliseconds, if all targets of its service pause. */
	retryAfterPausesMs(state: RequestState, settings: RouteSettings, now: Millis): number | undefined {
		const reachable = this.#targets(state, settings, now).filter(({reachability}) => reachability.reachable);
		const firstEndMs = Math.min(...reachable.map(({suspension}) => suspension.pausedMs(now)));
		return reachable.length > 0 && firstEndMs > 0 ? retryAfterPauseMs(firstEndMs, this.#parts.random) : undefined;
	}

	/** Decides on a request that would be refused while targets pause: it waits for the first that may take it in time, else it is told to return after the first pause. */
	#awaitPauses(state: RequestState, {refusal, paused, hasTargets}: {refusal: Refusal; paused: readonly TargetView[]; hasTargets: boolean}, now: Millis): RouteDecision {
		const firstEndMs = (views: readonly TargetView[]) => Math.min(...views.map(({suspension}) => suspension.pausedMs(now)));
		const predictedMs = firstEndMs(paused.filter(view => !isTried(state, view) && mayResumeOn(state, view)));
		if (now + predictedMs < state.deadlineAt) {
			return {type: 'wait', predictedMs, forPause: true};
		}

		return {type: 'refuse', refusal: hasTargets ? refusal : {...refusal, retryAfterMs: retryAfterPauseMs(firstEndMs(paused), this.#parts.random)}};
	}

	/** Targets that may have crashed: chosen only if no other one has room. */
	#crashSuspectedTargets(targets: readonly TargetView[]): readonly TargetId[] {
		const {poison} = this.#parts;
		return targets
			.filter(view => poison.isCrashSuspected(view.targetId, view.announcement.incarnation))
			.map(view => view.targetId);
	}

	/** True if a target is unavailable to this suspect only because of another suspect or an unconfirmed crash. */
	#mayBecomeAvailable(state: RequestState, targets: readonly TargetView[], now: Millis): boolean {
		const unavailable = this.#unavailableToSuspects(targets, now);
		return targets.some(view =>
			unavailable.has(view.targetId)
			&& !isTried(state, view)
			&& mayResumeOn(state, view));
	}

	/** Targets on which no suspect may start now. */
	#unavailableToSuspects(targets: readonly TargetView[], now: Millis): ReadonlySet<TargetId> {
		return new Set([...this.#parts.poison.targetsWithSuspects(now), ...this.#crashSuspectedTargets(targets)]);
	}

	#targets(state: RequestState, settings: RouteSettings, now: Millis): readonly TargetView[] {
		const model = settings.model ?? state.req.model;
		return this.#parts.targets.serving(state.req.path, model, now);
	}

	/** Regions to forward to: none for a request that was forwarded already, or for a partial answer, which only a target of this region resumes. An entry that is cut off from its targets forwards to others of its own region too. */
	#regions(state: RequestState, isCutOff: boolean, now: Millis) {
		const staysHere = state.req.forwardedBy !== undefined || state.partiallyAnswered;
		if (staysHere) {
			return [];
		}

		return this.#parts.membership.regions(now).filter(view => isCutOff || view.region !== this.#parts.region);
	}

	#excluded(state: RequestState, targets: readonly TargetView[], alone: boolean, now: Millis): ReadonlySet<TargetId> {
		if (!alone && !state.partiallyAnswered && state.triedTargets.size === 0) {
			return noTargets;
		}

		const unavailable = alone ? this.#unavailableToSuspects(targets, now) : new Set<TargetId>();
		const excluded = targets.filter(view =>
			isTried(state, view) || unavailable.has(view.targetId) || !mayResumeOn(state, view));
		return new Set(excluded.map(view => view.targetId));
	}
}

/** True if the request was tried on this incarnation of the target, or a later one. */
function isTried(state: RequestState, view: TargetView): boolean {
	const incarnation = state.triedTargets.get(view.targetId);
	return incarnation !== undefined && view.announcement.incarnation <= incarnation;
}
