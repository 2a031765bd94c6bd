import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Refusal} from '../results/refusal.ts';
import type {RouteDecision} from '../routing/route-decision.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {AttemptRunner} from './attempt-runner.ts';
import type {CoordinatorOptions} from './coordinator-options.ts';
import {pickEntry} from './pick-entry.ts';
import type {RequestState} from './request-state.ts';
import {RouteChooser} from './route-chooser.ts';
import {remainingRequest} from './remaining-request.ts';

/** Refusals that end once a target comes or has room. */
const transientResults = new Set<Refusal['result']>(['noTarget', 'overloaded', 'deadline', 'queueFull', 'organisationShare']);

/** Waiting requests that are passed over at most in one go. */
const maxSkipped = 16;

/** Between two tries to place a parked request, in milliseconds. */
const parkedRetryMs = 100;

type DispatcherOptions = {
	readonly parts: CoordinatorOptions;
	readonly runner: AttemptRunner;
	/** The request of this id, while it has no final answer. */
	readonly findRequest: (requestId: RequestId) => RequestState | undefined;
	/** Gives a request its final answer. */
	readonly refuse: (state: RequestState, reason: Omit<Refusal, 'ran'>, now: Millis) => void;
};

/** What one choice gave. */
type Choice<Decision = RouteDecision> = {
	readonly settings: RouteSettings;
	readonly alone: boolean;
	readonly decision: Decision;
};

/** Brings requests to a target, to another region or into the queue of their service. */
export class RequestDispatcher {
	readonly #parts: CoordinatorOptions;
	readonly #runner: AttemptRunner;
	readonly #chooser: RouteChooser;
	readonly #findRequest: DispatcherOptions['findRequest'];
	readonly #refuse: DispatcherOptions['refuse'];

	constructor(options: DispatcherOptions) {
		this.#parts = options.parts;
		this.#runner = options.runner;
		this.#chooser = new RouteChooser(options.parts);
		this.#findRequest = options.findRequest;
		this.#refuse = options.refuse;
	}

	/** Starts the request, forwards it, lets it wait or refuses it. */
	dispatch(state: RequestState, now: Millis): void {
		const choice = this.#choose(state, now);
		if (choice) {
			this.#applyDecision(state, choice, now);
		}
	}

	/** Where the router would send the request now, without doing it. */
	preview(state: RequestState, settings: RouteSettings, now: Millis): RouteDecision {
		const alone = this.#parts.poison.classify(state.req.fingerprint, now).type === 'alone';
		return this.#decide(state, settings, alone, now);
	}

	/** Places waiting requests of a service in their order; passes over some that have to go on waiting. */
	drainQueue(serviceKey: string, now: Millis): void {
		const {admission} = this.#parts;
		const skipped = new Set<RequestId>();
		while (skipped.size < maxSkipped) {
			const req = admission.peek(serviceKey, now, skipped);
			if (!req) {
				return;
			}

			const state = this.#findRequest(req.requestId);
			if (state?.phase !== 'queued') {
				admission.take(req.requestId);
			} else if (!this.#dispatchQueued(state, now)) {
				skipped.add(req.requestId);
			}
		}
	}

	/** Asks for a decision; a request that may not run is refused here. */
	#choose(state: RequestState, now: Millis): Choice | undefined {
		const settings = this.#parts.tree().route(state.req.path);
		if (!settings) {
			this.#refuse(state, {result: 'unknownRoute'}, now);
			return;
		}

		const verdict = this.#parts.poison.classify(state.req.fingerprint, now);
		if (verdict.type === 'refused') {
			this.#refuse(state, {result: 'poison', retryAfterMs: verdict.retryAfterMs}, now);
			return;
		}

		const alone = verdict.type === 'alone';
		const decision = this.#decide(state, settings, alone, now);
		return {settings, alone, decision: alone ? this.#keepPendingPermitTarget(state, decision, now) : decision};
	}

	/** While a permit for a target is being asked for, the request stays with that target. */
	#keepPendingPermitTarget(state: RequestState, decision: RouteDecision, now: Millis): RouteDecision {
		const view = state.pendingPermitTarget && this.#parts.targets.get(state.pendingPermitTarget, now);
		const barred = decision.type === 'refuse' && decision.refusal.result === 'residency';
		if (!view || barred || view.announcement.state !== 'serving') {
			return decision;
		}

		return {
			type: 'target', targetId: view.targetId, predictedMs: 0, cachedTokens: 0,
		};
	}

	#decide(state: RequestState, settings: RouteSettings, alone: boolean, now: Millis): RouteDecision {
		const awayBytesLastSecond = this.#runner.remoteBytesLastSecond(now);
		const depth = this.#parts.admission.depth(state.serviceKey);
		const waiting = state.phase === 'queued' ? Math.max(0, depth - 1) : depth;
		return this.#chooser.choose(state, settings, {alone, remoteBytesLastSecond: awayBytesLastSecond, waiting}, now);
	}

	#applyDecision(state: RequestState, choice: Choice, now: Millis): void {
		const {settings, alone, decision} = choice;
		switch (decision.type) {
			case 'target': {
				if (this.#mustQueue(state, alone)) {
					this.#enqueue(state, settings, decision.predictedMs, now);
					this.drainQueue(state.serviceKey, now);
				} else {
					this.#startOnTarget(state, {settings, alone, decision}, now);
				}

				break;
			}

			case 'away': {
				this.#forward(state, {settings, alone, decision}, now);
				break;
			}

			case 'wait': {
				if (alone) {
					this.#park(state, now);
				} else {
					this.#enqueue(state, settings, decision.predictedMs, now);
				}

				break;
			}

			case 'refuse': {
				if (mayWaitForTarget(state, decision.refusal, now)) {
					this.#park(state, now);
				} else {
					this.#refuse(state, decision.refusal, now);
				}

				break;
			}
		}
	}

	/** A new request does not pass those that wait already: the queue decides whose turn it is. */
	#mustQueue(state: RequestState, alone: boolean): boolean {
		const isNew = state.phase !== 'queued' && state.attempts === 0;
		return isNew && !alone && this.#parts.admission.depth(state.serviceKey) > 0;
	}

	#startOnTarget(
		state: RequestState,
		choice: Choice<Extract<RouteDecision, {type: 'target'}>>,
		now: Millis,
	): void {
		const {targetId, cachedTokens} = choice.decision;
		const view = this.#parts.targets.get(targetId, now);
		if (!view) {
			state.triedTargets.set(targetId, Number.POSITIVE_INFINITY);
			this.dispatch(state, now);
			return;
		}

		if (choice.alone && !this.#requestPermit(state, targetId, now)) {
			this.#park(state, now);
			return;
		}

		this.#recordFirstAttempt(state, choice.settings, now);
		this.#runner.start(state, choice.settings, {view, cachedTokens}, now);
	}

	#requestPermit(state: RequestState, targetId: TargetId, now: Millis): boolean {
		const answer = this.#parts.poison.requestPermit(state.req.fingerprint, targetId, now);
		state.pendingPermitTarget = answer === 'pending' ? targetId : undefined;
		return answer === 'granted';
	}

	#forward(
		state: RequestState,
		choice: Choice<Extract<RouteDecision, {type: 'away'}>>,
		now: Millis,
	): void {
		const {region} = choice.decision;
		const view = this.#parts.membership.region(region, now);
		const entry = pickEntry(view?.entries ?? [], this.#parts.membership, this.#parts.random);
		if (!entry) {
			state.triedRegions.add(region);
			this.dispatch(state, now);
			return;
		}

		if (choice.alone && !this.#parts.poison.ensureInformed(state.req.fingerprint, entry.nodeId, now)) {
			this.#park(state, now);
			return;
		}

		this.#recordFirstAttempt(state, choice.settings, now);
		this.#runner.forward(state, choice.settings, {entry, region}, now);
	}

	#recordFirstAttempt(state: RequestState, settings: RouteSettings, now: Millis): void {
		if (state.attempts === 0) {
			this.#parts.admission.recordDispatch(state.req, now);
			this.#parts.retryBudget.deposit(state.routeKey, settings.retryBudget, now);
		}
	}

	/** Suspects, and broken answers without a target, wait outside the queue, so that they hold up nobody else. */
	#park(state: RequestState, now: Millis): void {
		state.phase = 'parked';
		state.parkedUntil = now + parkedRetryMs as Millis;
	}

	#enqueue(state: RequestState, settings: RouteSettings, predictedMs: number, now: Millis): void {
		const result = this.#parts.admission.enqueue(remainingRequest(state), settings, predictedMs, now);
		if (result.type === 'refused' && mayWaitForTarget(state, result.refusal, now)) {
			this.#park(state, now);
			return;
		}

		if (result.type === 'refused') {
			this.#refuse(state, result.refusal, now);
			return;
		}

		state.phase = 'queued';
	}

	/** False if the request has to go on waiting. */
	#dispatchQueued(state: RequestState, now: Millis): boolean {
		const choice = this.#choose(state, now);
		if (choice?.decision.type === 'wait' && !choice.alone) {
			return false;
		}

		this.#parts.admission.take(state.req.requestId);
		if (choice) {
			this.#applyDecision(state, choice, now);
		}

		return true;
	}
}

/** An answer that broke off waits for a target to come, since its caller has part of it. */
function mayWaitForTarget(state: RequestState, refusal: Refusal, now: Millis): boolean {
	return state.partiallyAnswered && now < state.deadlineAt && transientResults.has(refusal.result);
}
