import {PlacementPacer} from '../admission/placement-pacer.ts';
import type {Millis} from '../ids/millis.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Refusal} from '../results/refusal.ts';
import {residencyAllows} from '../routing/residency-allows.ts';
import type {RouteDecision} from '../routing/route-decision.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {AttemptRunner} from './attempt-runner.ts';
import type {CoordinatorOptions} from './coordinator-options.ts';
import {classifyRequest} from './classify-request.ts';
import {currentSettings} from './current-settings.ts';
import {pickEntry} from './pick-entry.ts';
import {PauseWaits} from './pause-waits.ts';
import type {RequestState} from './request-state.ts';
import {RouteChooser} from './route-chooser.ts';
import {remainingRequest} from './remaining-request.ts';

/** Refusal results that may change once a target joins or has room. */
const transientResults = new Set<Refusal['result']>(['noTarget', 'overloaded', 'deadline', 'queueFull', 'organisationShare']);

/** Largest number of waiting requests skipped in one pass over a queue. */
const maxSkipped = 16;

/** Interval at which a parked request is dispatched again, in milliseconds. */
const parkedRetryMs = 100;

type DispatcherOptions = {
	readonly parts: CoordinatorOptions;
	readonly runner: AttemptRunner;
	/** Finds a request that has no final answer yet. */
	readonly findRequest: (requestId: RequestId) => RequestState | undefined;
	/** Refuses a request as its final answer. */
	readonly refuse: (state: RequestState, reason: Omit<Refusal, 'ran'>, now: Millis) => void;
};

/** A routing decision, with the settings it was made under; `alone` is true if the request is a suspect that needs a permit. */
type Choice<Decision = RouteDecision> = {
	readonly settings: RouteSettings;
	readonly alone: boolean;
	readonly decision: Decision;
};

/** Routes requests and carries out the decision: start on a target, forward to another region, queue, park or refuse. */
export class RequestDispatcher {
	readonly #parts: CoordinatorOptions;
	readonly #runner: AttemptRunner;
	readonly #chooser: RouteChooser;
	readonly #pauseWaits = new PauseWaits();
	/** By service. */
	readonly #pacers = new Map<string, PlacementPacer>();
	readonly #findRequest: DispatcherOptions['findRequest'];
	readonly #refuse: DispatcherOptions['refuse'];

	constructor(options: DispatcherOptions) {
		this.#parts = options.parts;
		this.#runner = options.runner;
		this.#chooser = new RouteChooser(options.parts);
		this.#findRequest = options.findRequest;
		this.#refuse = options.refuse;
	}

	/** Routes a request and carries out the decision. */
	dispatch(state: RequestState, now: Millis): void {
		const choice = this.#choose(state, now);
		if (choice) {
			this.#applyDecision(state, choice, now);
		}
	}

	/** The decision that the router would make for the request now, without carrying it out. */
	preview(state: RequestState, settings: RouteSettings, now: Millis): RouteDecision {
		const alone = classifyRequest(this.#parts.poison, state.req, now).type === 'alone';
		return this.#decide(state, settings, alone, now);
	}

	/** Dispatches waiting requests of a service in queue order, as often as the pacer allows; each tick tries again. */
	drainQueue(serviceKey: string, now: Millis): void {
		const pacer = this.#pacers.get(serviceKey) ?? new PlacementPacer();
		this.#pacers.set(serviceKey, pacer);
		if (!pacer.mayPass(now)) {
			return;
		}

		if (this.#pauseWaits.isDue(serviceKey, now)) {
			this.#retryPaused(serviceKey, now);
		}

		this.#dispatchWaiting(serviceKey, now);
		pacer.recordPass(now, {leftWaiting: this.#parts.admission.depth(serviceKey) > 0});
	}

	/** Tries the requests that wait for pauses again: those that a target takes now join the queue, to be dispatched in its order. */
	retryAllPaused(now: Millis): void {
		for (const serviceKey of this.#pauseWaits.services()) {
			this.#retryPaused(serviceKey, now);
		}
	}

	/** Forgets a request that ended while it waited for a pause. */
	forget(state: RequestState): void {
		this.#pauseWaits.remove(state);
	}

	/** Time after which the caller of a request should retry, in milliseconds, if all targets of its service pause. */
	retryAfterPausesMs(state: RequestState, now: Millis): number | undefined {
		const settings = currentSettings(state.req, this.#parts.tree());
		return settings && this.#chooser.retryAfterPausesMs(state, settings, now);
	}

	/** Dispatches waiting requests in queue order, skipping up to `maxSkipped` that cannot be dispatched now. */
	#dispatchWaiting(serviceKey: string, now: Millis): void {
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

	#retryPaused(serviceKey: string, now: Millis): void {
		for (const state of this.#pauseWaits.take(serviceKey)) {
			const choice = now < state.deadlineAt ? this.#choose(state, now) : undefined;
			if (choice?.decision.type === 'target' && !choice.alone) {
				this.#enqueue(state, choice.settings, choice.decision.predictedMs, now);
			} else if (choice) {
				this.#applyDecision(state, choice, now);
			}
		}
	}

	/** Decides where a request goes; refuses it and returns nothing if it may not run at all. */
	#choose(state: RequestState, now: Millis): Choice | undefined {
		const settings = currentSettings(state.req, this.#parts.tree());
		if (!settings) {
			this.#refuse(state, {result: 'unknownRoute'}, now);
			return;
		}

		const classification = classifyRequest(this.#parts.poison, state.req, now);
		if (classification.type === 'refused') {
			this.#refuse(state, {result: 'poison', retryAfterMs: classification.retryAfterMs}, now);
			return;
		}

		const alone = classification.type === 'alone';
		const decision = this.#decide(state, settings, alone, now);
		return {settings, alone, decision: alone ? this.#keepPendingPermitTarget(state, settings, decision, now) : decision};
	}

	/** Keeps a request with the target for which its permit is pending, as long as that target serves and residency allows this region. */
	#keepPendingPermitTarget(state: RequestState, settings: RouteSettings, decision: RouteDecision, now: Millis): RouteDecision {
		const view = state.pendingPermitTarget && this.#parts.targets.get(state.pendingPermitTarget, now);
		if (view?.suspension.remainingMs(now) !== 0 || !residencyAllows({req: state.req, settings}, this.#parts.region)) {
			return decision;
		}

		return {
			type: 'target', targetId: view.targetId, predictedMs: 0, cachedTokens: 0,
		};
	}

	#decide(state: RequestState, settings: RouteSettings, alone: boolean, now: Millis): RouteDecision {
		const remoteBytesLastSecond = this.#runner.remoteBytesLastSecond(now);
		const depth = this.#parts.admission.depth(state.serviceKey);
		const waiting = state.phase === 'queued' ? Math.max(0, depth - 1) : depth;
		return this.#chooser.choose(state, settings, {alone, remoteBytesLastSecond, waiting}, now);
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
				} else if (decision.forPause) {
					this.#awaitPause(state, settings, decision.predictedMs, now);
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

	/** A new request must not overtake waiting ones: while the queue is not empty, it is queued as well. Retries and suspects are exempt. */
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
			// The target is gone: excludes all of its incarnations.
			state.triedTargets.set(targetId, Number.POSITIVE_INFINITY);
			this.dispatch(state, now);
			return;
		}

		if (choice.alone && !this.#requestPermit(state, targetId, now)) {
			this.#park(state, now);
			return;
		}

		this.#recordFirstAttempt(state, choice.settings, now);
		this.#giveUpIfAlone(state, choice.alone, now);
		this.#runner.start(state, choice.settings, {view, cachedTokens}, now);
	}

	#requestPermit(state: RequestState, targetId: TargetId, now: Millis): boolean {
		const permit = this.#parts.poison.requestPermit(state.req.fingerprint, targetId, now);
		state.pendingPermitTarget = permit === 'pending' ? targetId : undefined;
		return permit === 'granted';
	}

	#forward(
		state: RequestState,
		choice: Choice<Extract<RouteDecision, {type: 'away'}>>,
		now: Millis,
	): void {
		const {region} = choice.decision;
		const view = this.#parts.membership.region(region, now);
		const others = view?.entries.filter(nodeId => nodeId !== this.#parts.self) ?? [];
		const entry = pickEntry(others, this.#parts.membership, this.#parts.random);
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
		this.#giveUpIfAlone(state, choice.alone, now);
		this.#runner.forward(state, choice.settings, {entry, region}, now);
	}

	/** A suspect never runs twice at once: its kept attempt ends before the next one starts. */
	#giveUpIfAlone(state: RequestState, alone: boolean, now: Millis): void {
		if (alone) {
			this.#runner.dropKept(state, 'suspect', now);
		}
	}

	#recordFirstAttempt(state: RequestState, settings: RouteSettings, now: Millis): void {
		if (state.attempts === 0) {
			this.#parts.admission.recordDispatch(state.req, now);
			this.#parts.retryBudget.deposit(state.routeKey, settings.retryBudget, now);
		}
	}

	/** Suspects, and interrupted answers without a target to resume on, wait outside the queue, so that they do not delay others. */
	#park(state: RequestState, now: Millis): void {
		state.phase = 'parked';
		state.parkedUntil = now + parkedRetryMs as Millis;
	}

	/** Lets a request wait outside the queue, so that it does not delay requests that other targets take; as many may wait as in the queue. */
	#awaitPause(state: RequestState, settings: RouteSettings, pauseMs: number, now: Millis): void {
		const eviction = this.#pauseWaits.add(state, {endAt: now + pauseMs as Millis, limit: settings.queueLimit}, now);
		if (eviction?.state !== state) {
			state.phase = 'paused';
		}

		if (eviction) {
			this.#refuse(eviction.state, {result: eviction.result, retryAfterMs: this.retryAfterPausesMs(eviction.state, now)}, now);
		}
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

	/** Dispatches a queued request; false if it has to stay in the queue. */
	#dispatchQueued(state: RequestState, now: Millis): boolean {
		const choice = this.#choose(state, now);
		if (choice?.decision.type === 'wait' && !choice.alone && !choice.decision.forPause) {
			return false;
		}

		this.#parts.admission.take(state.req.requestId);
		if (choice) {
			this.#applyDecision(state, choice, now);
		}

		return true;
	}
}

/** An interrupted answer waits for a target to resume on, since its caller already has part of it. */
function mayWaitForTarget(state: RequestState, refusal: Refusal, now: Millis): boolean {
	return state.partiallyAnswered && now < state.deadlineAt && transientResults.has(refusal.result);
}
