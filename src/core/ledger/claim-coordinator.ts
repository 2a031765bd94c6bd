import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {RequestId} from '../ids/request-id.ts';
import {ClaimAttempt} from './claim-attempt.ts';
import type {ClaimId} from './claim-id.ts';
import type {ClaimOutcome} from './claim-outcome.ts';
import type {ClaimRequest} from './claim-request.ts';
import {claimText} from './claim-text.ts';
import {FinishQueue} from './finish-queue.ts';
import type {KeeperSet} from './keeper-set.ts';
import type {KeptAnswer} from './kept-answer.ts';
import type {LedgerMessage} from './ledger-message.ts';

type ClaimCoordinatorOptions = {
	readonly self: NodeId;
	readonly incarnation: number;
	readonly sets: ReadonlyMap<Region, KeeperSet>;
	readonly send: (to: NodeId, message: LedgerMessage) => void;
	/** Whether the process that made a claim is believed to be running. */
	readonly running: (claimId: ClaimId) => boolean;
};

type MessageOf<Type extends LedgerMessage['type']> = Extract<LedgerMessage, {type: Type}>;

/** A claim that was given up and not yet reported. */
type ClosingClaim = {
	readonly requestId: RequestId;
	readonly outcome: Extract<ClaimOutcome, {type: 'unavailable'}>;
	readonly until: number;
};

type GrantedClaim = {
	readonly claimId: ClaimId;
	readonly key: string;
	readonly request: ClaimRequest;
};

/** Time in which all keepers must accept a claim, in milliseconds; it is given up for good after that. */
const claimTimeoutMs = 1500;
/** Wait for a keeper to say that it held a claim until it was given up, in milliseconds. */
const closingMs = 250;
/** Length of base64 text for one byte. */
const base64Growth = 4 / 3;

const unavailable: ClaimOutcome = {type: 'unavailable', retryAfterMs: 1000, ran: 'maybe'};

/** Claims keys for requests that this entry got, at the keepers of their home regions. */
export class ClaimCoordinator {
	readonly #options: ClaimCoordinatorOptions;
	readonly #finishes: FinishQueue;
	/** Attempts under way, by the text of their claim ids. */
	readonly #attempts = new Map<string, ClaimAttempt>();
	/** Granted claims whose requests are not over. */
	readonly #granted = new Map<RequestId, GrantedClaim>();
	/** Claims that a keeper held when they were given up, by the text of their ids. */
	readonly #closing = new Map<string, ClosingClaim>();
	/** Texts of the granted claims' ids. */
	readonly #grantedTexts = new Set<string>();
	#outcomes: Array<{requestId: RequestId; outcome: ClaimOutcome}> = [];
	#lastNumber = 0;

	constructor(options: ClaimCoordinatorOptions) {
		this.#options = options;
		this.#finishes = new FinishQueue({sets: options.sets, send: options.send});
	}

	claim(request: ClaimRequest, now: Millis): void {
		this.#try(request, now + claimTimeoutMs, now);
	}

	/** Ends a granted claim, or gives one up that is not granted yet. */
	finish(requestId: RequestId, state: 'done' | 'unknown' | 'released', answer: KeptAnswer | undefined, now: Millis): void {
		for (const [text, attempt] of this.#attempts) {
			if (attempt.request.requestId === requestId) {
				this.#abandon(text, attempt, now);
			}
		}

		const granted = this.#granted.get(requestId);
		if (!granted) {
			return;
		}

		const {claimId, key, request} = granted;
		this.#granted.delete(requestId);
		this.#grantedTexts.delete(claimText(claimId));
		const kept = answer && answer.body.length <= request.keepBytes * base64Growth ? answer : undefined;
		this.#finishes.add({
			region: request.homeRegion, claimId, key, state, answer: kept,
		}, now);
	}

	/** The region has a new set: attempts start again under its epoch, with new claim ids. */
	learned(region: Region, now: Millis): void {
		this.#finishes.restart(region);
		// New attempts are added meanwhile: only those from before are looked at.
		const outdated = [...this.#attempts].filter(([, attempt]) => attempt.request.homeRegion === region);
		for (const [text, attempt] of outdated) {
			this.#abandon(text, attempt, now);
			this.#try(attempt.request, attempt.deadlineAt, now);
		}
	}

	tick(now: Millis): void {
		for (const [text, attempt] of this.#attempts) {
			this.#step(text, attempt.tick(now), now);
		}

		for (const [text, {requestId, outcome, until}] of this.#closing) {
			if (now > until) {
				this.#closing.delete(text);
				this.#outcomes.push({requestId, outcome});
			}
		}

		this.#finishes.tick(now);
	}

	replied(from: NodeId, {claimId, reply}: MessageOf<'claim-reply'>, now: Millis): void {
		const text = claimText(claimId);
		this.#step(text, this.#attempts.get(text)?.replied(from, reply, now), now);
	}

	finished(from: NodeId, {claimId, epoch, changed}: MessageOf<'finish-reply'>, now: Millis): void {
		this.#finishes.acked(from, claimId, epoch);
		const text = claimText(claimId);
		const closing = this.#closing.get(text);
		if (closing && changed && now <= closing.until) {
			this.#closing.delete(text);
			this.#outcomes.push({requestId: closing.requestId, outcome: {...closing.outcome, ran: 'no'}});
		}
	}

	queried({claimId, status}: MessageOf<'query-reply'>, now: Millis): void {
		for (const [text, attempt] of this.#attempts) {
			this.#step(text, attempt.queried(claimId, status, now), now);
		}
	}

	fenced(from: NodeId, {claimId, held, epoch}: MessageOf<'fence-reply'>, now: Millis): void {
		for (const [text, attempt] of this.#attempts) {
			if (attempt.set.epoch === epoch) {
				this.#step(text, attempt.fenced(from, claimId, held), now);
			}
		}
	}

	/** How a claim that this process made stands. */
	status(claimId: ClaimId): MessageOf<'query-reply'>['status'] {
		const text = claimText(claimId);
		if (claimId.incarnation !== this.#options.incarnation) {
			return 'forgotten';
		}

		if (this.#attempts.has(text)) {
			return 'pending';
		}

		if (this.#grantedTexts.has(text)) {
			return 'running';
		}

		const state = this.#finishes.state(text);
		return state === 'released' ? 'never' : (state ? 'ended' : 'forgotten');
	}

	takeOutcomes() {
		const outcomes = this.#outcomes;
		this.#outcomes = [];
		return outcomes;
	}

	#try(request: ClaimRequest, deadlineAt: number, now: Millis): void {
		const {self, incarnation, sets, send, running} = this.#options;
		const set = sets.get(request.homeRegion);
		if (!set) {
			this.#outcomes.push({requestId: request.requestId, outcome: unavailable});
			return;
		}

		this.#lastNumber += 1;
		const claimId: ClaimId = {coordinator: self, incarnation, number: this.#lastNumber};
		const attempt = new ClaimAttempt({
			request,
			key: `${request.scope}\n${request.idempotencyKey}`,
			set,
			claimId,
			deadlineAt,
			send,
			ownStatus: other => this.status(other),
			self,
			running,
		});
		const text = claimText(claimId);
		this.#attempts.set(text, attempt);
		this.#step(text, attempt.tick(now), now);
	}

	#step(text: string, step: ReturnType<ClaimAttempt['tick']>, now: Millis): void {
		const attempt = this.#attempts.get(text);
		if (!step || !attempt) {
			return;
		}

		const {request, key, claimId} = attempt;
		if (step.type === 'release') {
			this.#finishes.add({
				region: request.homeRegion, claimId: step.claimId, key, state: 'released',
			}, now);
			return;
		}

		if (step.outcome.type === 'granted') {
			this.#attempts.delete(text);
			this.#granted.set(request.requestId, {claimId, key, request});
			this.#grantedTexts.add(text);
		} else {
			this.#abandon(text, attempt, now);
		}

		const {outcome} = step;
		const {requestId} = request;
		// After a pause of this process, what a keeper held may be of an epoch that is over.
		const paused = now > attempt.deadlineAt + closingMs;
		if (outcome.type === 'unavailable' && attempt.acceptedBySome && !paused) {
			this.#closing.set(text, {requestId, outcome, until: now + closingMs});
		} else {
			this.#outcomes.push({requestId, outcome});
		}
	}

	/** Gives an attempt up for good and lets the keepers forget it. */
	#abandon(text: string, {claimId, key, request}: ClaimAttempt, now: Millis): void {
		this.#attempts.delete(text);
		this.#finishes.add({
			region: request.homeRegion, claimId, key, state: 'released',
		}, now);
	}
}
