import {AwakeClock} from '../common/awake-clock.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {RequestId} from '../ids/request-id.ts';
import {ClaimAttempt} from './claim-attempt.ts';
import type {ClaimId} from './claim-id.ts';
import type {ClaimOutcome} from './claim-outcome.ts';
import type {ClaimRequest} from './claim-request.ts';
import {formatClaimId} from './format-claim-id.ts';
import {FinishQueue} from './finish-queue.ts';
import type {KeeperSet} from './keeper-set.ts';
import type {StoredAnswer} from './stored-answer.ts';
import type {LedgerMessage} from './ledger-message.ts';

type ClaimCoordinatorOptions = {
	readonly self: NodeId;
	readonly incarnation: number;
	readonly sets: ReadonlyMap<Region, KeeperSet>;
	readonly send: (to: NodeId, message: LedgerMessage) => void;
	/** Whether the coordinator process that made a claim is believed to be running. */
	readonly running: (claimId: ClaimId) => boolean;
	/** Called for a claim that ends because its keepers did not all accept it in time. */
	readonly onUnavailable: (attempt: ClaimAttempt) => void;
};

type MessageOf<Type extends LedgerMessage['type']> = Extract<LedgerMessage, {type: Type}>;

/** A claim that was given up and whose outcome waits for a keeper's reply to its release. */
type AbandonedClaim = {
	readonly requestId: RequestId;
	readonly outcome: Extract<ClaimOutcome, {type: 'unavailable'}>;
	readonly until: number;
};

/** A granted claim whose request has not ended. */
type GrantedClaim = {
	readonly claimId: ClaimId;
	readonly key: string;
	readonly request: ClaimRequest;
};

/** Time within which all keepers must accept a claim, in milliseconds; it is given up for good after that. */
const claimTimeoutMs = 1500;
/** Wait for a keeper to confirm that it held a claim until its release, in milliseconds; only then the request is known not to have run. */
const releaseReplyTimeoutMs = 250;
/** Base64 characters per byte. */
const base64CharsPerByte = 4 / 3;

const unavailable: ClaimOutcome = {type: 'unavailable', retryAfterMs: 1000, ran: 'maybe'};

/** Claims idempotency keys for requests received by this entry, at the keepers of the requests' home regions. */
export class ClaimCoordinator {
	readonly #options: ClaimCoordinatorOptions;
	readonly #finishes: FinishQueue;
	readonly #awake = new AwakeClock();
	/** Time lost to standstills by the last tick, in milliseconds. */
	#lostMs = 0;
	/** Attempts under way, by formatted claim id. */
	readonly #attempts = new Map<string, ClaimAttempt>();
	/** Granted claims whose requests have not ended. */
	readonly #granted = new Map<RequestId, GrantedClaim>();
	/** Claims given up with the outcome `unavailable` after some keeper had accepted them, by formatted claim id. */
	readonly #abandoned = new Map<string, AbandonedClaim>();
	/** Formatted ids of the granted claims. */
	readonly #grantedIds = new Set<string>();
	#outcomes: Array<{requestId: RequestId; outcome: ClaimOutcome}> = [];
	#lastNumber = 0;

	constructor(options: ClaimCoordinatorOptions) {
		this.#options = options;
		this.#finishes = new FinishQueue({sets: options.sets, send: options.send});
	}

	claim(request: ClaimRequest, now: Millis): void {
		this.#awake.step(now);
		this.#startAttempt(request, now + claimTimeoutMs, now);
	}

	/** Ends a granted claim, or gives up one that is not granted yet. */
	finish(requestId: RequestId, state: 'done' | 'unknown' | 'released', answer: StoredAnswer | undefined, now: Millis): void {
		for (const [id, attempt] of this.#attempts) {
			if (attempt.request.requestId === requestId) {
				this.#abandon(id, attempt, now);
			}
		}

		const granted = this.#granted.get(requestId);
		if (!granted) {
			return;
		}

		const {claimId, key, request} = granted;
		this.#granted.delete(requestId);
		this.#grantedIds.delete(formatClaimId(claimId));
		const storedAnswer = answer && answer.body.length <= request.keepBytes * base64CharsPerByte ? answer : undefined;
		this.#finishes.add({
			region: request.homeRegion, claimId, key, state, answer: storedAnswer,
		}, now);
	}

	/** Handles a new keeper set of the region: its attempts restart in the new epoch, with new claim ids. */
	handleNewSet(region: Region, now: Millis): void {
		this.#finishes.restart(region);
		// Copied because the loop adds new attempts to the map.
		const outdated = [...this.#attempts].filter(([, attempt]) => attempt.request.homeRegion === region);
		for (const [id, attempt] of outdated) {
			this.#abandon(id, attempt, now);
			this.#startAttempt(attempt.request, attempt.deadlineAt, now);
		}
	}

	tick(now: Millis): void {
		this.#awake.step(now);
		const mayBeUnread = this.#awake.lostMs > this.#lostMs;
		this.#lostMs = this.#awake.lostMs;
		for (const [id, attempt] of this.#attempts) {
			this.#applyStep(id, attempt.tick(now, mayBeUnread), now);
		}

		for (const [id, {requestId, outcome, until}] of this.#abandoned) {
			if (now > until) {
				this.#abandoned.delete(id);
				this.#outcomes.push({requestId, outcome});
			}
		}

		this.#finishes.tick(now);
	}

	handleClaimReply(from: NodeId, {claimId, reply}: MessageOf<'claim-reply'>, now: Millis): void {
		this.#awake.step(now);
		const id = formatClaimId(claimId);
		this.#applyStep(id, this.#attempts.get(id)?.handleClaimReply(from, reply, now), now);
	}

	handleFinishReply(from: NodeId, {claimId, epoch, changed}: MessageOf<'finish-reply'>, now: Millis): void {
		this.#finishes.acknowledge(from, claimId, epoch);
		const id = formatClaimId(claimId);
		const abandoned = this.#abandoned.get(id);
		if (abandoned && changed && now <= abandoned.until) {
			this.#abandoned.delete(id);
			this.#outcomes.push({requestId: abandoned.requestId, outcome: {...abandoned.outcome, ran: 'no'}});
		}
	}

	handleQueryReply({claimId, status}: MessageOf<'query-reply'>, now: Millis): void {
		this.#awake.step(now);
		for (const [id, attempt] of this.#attempts) {
			this.#applyStep(id, attempt.handleQueryReply(claimId, status, now), now);
		}
	}

	handleFenceReply(from: NodeId, {claimId, held, epoch}: MessageOf<'fence-reply'>, now: Millis): void {
		for (const [id, attempt] of this.#attempts) {
			if (attempt.set.epoch === epoch) {
				this.#applyStep(id, attempt.handleFenceReply(from, claimId, held), now);
			}
		}
	}

	/** Status of a claim made by this process; `forgotten` if it was made by an earlier process or is no longer known. */
	claimStatus(claimId: ClaimId): MessageOf<'query-reply'>['status'] {
		const id = formatClaimId(claimId);
		if (claimId.incarnation !== this.#options.incarnation) {
			return 'forgotten';
		}

		if (this.#attempts.has(id)) {
			return 'pending';
		}

		if (this.#grantedIds.has(id)) {
			return 'running';
		}

		const state = this.#finishes.state(id);
		return state === 'released' ? 'never' : (state ? 'ended' : 'forgotten');
	}

	takeOutcomes() {
		const outcomes = this.#outcomes;
		this.#outcomes = [];
		return outcomes;
	}

	#startAttempt(request: ClaimRequest, deadlineAt: number, now: Millis): void {
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
			awake: this.#awake,
			send,
			ownStatus: other => this.claimStatus(other),
			self,
			running,
		});
		const id = formatClaimId(claimId);
		this.#attempts.set(id, attempt);
		this.#applyStep(id, attempt.tick(now, false), now);
	}

	#applyStep(id: string, step: ReturnType<ClaimAttempt['tick']>, now: Millis): void {
		const attempt = this.#attempts.get(id);
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
			this.#attempts.delete(id);
			this.#granted.set(request.requestId, {claimId, key, request});
			this.#grantedIds.add(id);
		} else {
			this.#abandon(id, attempt, now);
		}

		const {outcome} = step;
		const {requestId} = request;
		if (outcome.type === 'unavailable') {
			this.#options.onUnavailable(attempt);
		}

		// After a pause of this process the keepers may have been replaced, so their replies prove nothing about the key.
		const paused = now > attempt.deadlineAt + releaseReplyTimeoutMs;
		if (outcome.type === 'unavailable' && attempt.acceptedByAny && !paused) {
			this.#abandoned.set(id, {requestId, outcome, until: now + releaseReplyTimeoutMs});
		} else {
			this.#outcomes.push({requestId, outcome});
		}
	}

	/** Gives up an attempt for good and releases its claim at the keepers. */
	#abandon(id: string, {claimId, key, request}: ClaimAttempt, now: Millis): void {
		this.#attempts.delete(id);
		this.#finishes.add({
			region: request.homeRegion, claimId, key, state: 'released',
		}, now);
	}
}
