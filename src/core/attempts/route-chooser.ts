import type {Millis} from '../ids/millis.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {RouteDecision} from '../routing/route-decision.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {TargetView} from '../targets/target-view.ts';
import type {CoordinatorOptions} from './coordinator-options.ts';
import type {RequestState} from './request-state.ts';
import {routedRequest} from './routed-request.ts';

const noTargets: ReadonlySet<TargetId> = new Set();

/** Asks the router where a request goes, from what this node knows now. */
export class RouteChooser {
	readonly #parts: CoordinatorOptions;

	constructor(parts: CoordinatorOptions) {
		this.#parts = parts;
	}

	/** Chooses a place. `alone` keeps a suspect off every target that another suspect runs on. */
	choose(state: RequestState, settings: RouteSettings, context: {alone: boolean; awayBytesLastSecond: number; waiting: number}, now: Millis): RouteDecision {
		const {router, region} = this.#parts;
		if (state.req.forwardedBy && !this.#allowedHere(state, settings)) {
			return {type: 'refuse', refusal: {result: 'residency', ran: 'no'}};
		}

		const targets = this.#targets(state, settings, now);
		const excluded = this.#excluded(state, targets, context.alone, now);
		const ask = (unfit: ReadonlySet<TargetId>) => router.choose({
			req: routedRequest(state),
			settings,
			now,
			region,
			targets,
			regions: this.#regions(state, now),
			waiting: context.waiting,
			tried: {targets: unfit, regions: state.triedRegions},
			alone: context.alone,
			awayBytesLastSecond: context.awayBytesLastSecond,
		});
		const broken = this.#broken(targets);
		const sound = broken.length > 0 && !context.alone ? ask(new Set([...excluded, ...broken])) : undefined;
		const decision = sound?.type === 'target' ? sound : ask(excluded);
		if (decision.type === 'away' && state.req.forwardedBy) {
			return {type: 'refuse', refusal: {result: 'hopLimit', ran: 'no'}};
		}

		const mayWait = context.alone && decision.type === 'refuse' && this.#freedLater(state, targets, now);
		return mayWait ? {type: 'wait', predictedMs: 0} : decision;
	}

	/** Targets that seem to have crashed: taken only if no other one has room. */
	#broken(targets: readonly TargetView[]): readonly TargetId[] {
		const {poison} = this.#parts;
		return targets
			.filter(view => poison.broken(view.targetId, view.announcement.incarnation))
			.map(view => view.targetId);
	}

	/** True if a target is kept from this suspect only by another suspect, or by a crash that is not proven. */
	#freedLater(state: RequestState, targets: readonly TargetView[], now: Millis): boolean {
		const barred = this.#barred(targets, now);
		return targets.some(view =>
			barred.has(view.targetId)
			&& !isTried(state, view)
			&& (!state.passedOn || view.announcement.resumes));
	}

	/** Targets that no suspect may start on now. */
	#barred(targets: readonly TargetView[], now: Millis): ReadonlySet<TargetId> {
		return new Set([...this.#parts.poison.occupied(now), ...this.#broken(targets)]);
	}

	#targets(state: RequestState, settings: RouteSettings, now: Millis): readonly TargetView[] {
		const model = settings.model ?? state.req.model;
		return this.#parts.targets.serving(state.req.path, model, now);
	}

	/** A forwarded request stays here; an answer that broke off is resumed only by a target of this region. */
	#regions(state: RequestState, now: Millis) {
		const staysHere = state.req.forwardedBy !== undefined || state.passedOn;
		if (staysHere) {
			return [];
		}

		return this.#parts.membership.regions(now).filter(view => view.region !== this.#parts.region);
	}

	#excluded(state: RequestState, targets: readonly TargetView[], alone: boolean, now: Millis): ReadonlySet<TargetId> {
		if (!alone && !state.passedOn && state.triedTargets.size === 0) {
			return noTargets;
		}

		const barred = alone ? this.#barred(targets, now) : new Set<TargetId>();
		const unfit = targets.filter(view =>
			isTried(state, view) || barred.has(view.targetId) || (state.passedOn && !view.announcement.resumes));
		return new Set(unfit.map(view => view.targetId));
	}

	/** A receiver decides residency again, under its own settings. */
	#allowedHere(state: RequestState, settings: RouteSettings): boolean {
		const {region} = this.#parts;
		const byRequest = state.req.residency?.includes(region) ?? true;
		const bySettings = settings.residency?.includes(region) ?? true;
		return byRequest && bySettings;
	}
}

/** True if the request was sent to this process of the target before. */
function isTried(state: RequestState, view: TargetView): boolean {
	const incarnation = state.triedTargets.get(view.targetId);
	return incarnation !== undefined && view.announcement.incarnation <= incarnation;
}
