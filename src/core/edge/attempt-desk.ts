import type {ActionQueue} from '../action-queue.ts';
import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {Millis} from '../ids/millis.ts';
import type {Region} from '../ids/region.ts';
import type {EdgeAction} from './edge-action.ts';
import type {IdleRule} from './idle-rule.ts';
import type {PlacementCandidate} from './placement-candidate.ts';
import type {RegionChoice} from './region-choice.ts';
import type {RepeatBudget} from './repeat-budget.ts';
import type {RequestRecord} from './request-record.ts';
import type {TargetPool} from './target-pool.ts';

/** Least urgent rank that engines know. */
const lastUrgency = 9;

type AttemptDeskOptions = {
	readonly pool: TargetPool;
	readonly regions: RegionChoice;
	readonly budget: RepeatBudget;
	readonly idle: IdleRule;
	readonly queue: ActionQueue<EdgeAction>;
};

type Destination = Pick<EdgeAction & {type: 'start'}, 'attempt' | 'address' | 'targetId'>;

/** The sendings of requests that are under way, and what targets and regions are charged for them. */
export class AttemptDesk {
	readonly #options: AttemptDeskOptions;
	readonly #records = new Map<AttemptNumber, RequestRecord>();
	#last = 0;

	constructor(options: AttemptDeskOptions) {
		this.#options = options;
	}

	/** The request that an attempt belongs to, while it is under way. */
	recordOf(attempt: AttemptNumber): RequestRecord | undefined {
		return this.#records.get(attempt);
	}

	send(record: RequestRecord, {target, startMs, uncachedTokens, aheadTokens, memoryTokens}: PlacementCandidate, now: Millis): void {
		const {req: {prompt}, service, table} = record;
		const {targetId, address} = target.listed;
		if (record.sends === 0 && record.req.forwarded === undefined) {
			this.#options.budget.request(service, now);
		}

		const attempt = this.#next(record);
		target.attempts.set(attempt, {
			sentAt: now, uncachedTokens, aheadTokens, memoryTokens, outputTokens: prompt?.outputTokens ?? 0,
		});
		if (prompt !== undefined) {
			target.prefixes.used(prompt, table.service(service)?.engine?.cacheTokens ?? 0);
		}

		record.running = {
			attempt, sentAt: now, targetId, predictedMs: startMs, progressAt: now, events: 0,
		};
		this.#start(record, {attempt, address, targetId}, now);
	}

	sendAway(record: RequestRecord, {region, address, startMs}: {region: Region; address: string; startMs: number}, now: Millis): void {
		const attempt = this.#next(record);
		record.awaySends += 1;
		this.#options.regions.sent({region, service: record.service, prompt: record.req.prompt}, now);
		this.#options.queue.count('away', region);
		record.running = {
			attempt, sentAt: now, away: {region, address}, predictedMs: startMs, progressAt: now, events: 0,
		};
		this.#start(record, {attempt, address}, now);
	}

	/** Forgets a record's attempt: nothing more is heard of it. */
	stop(record: RequestRecord): void {
		const {running} = record;
		if (running === undefined) {
			return;
		}

		this.#records.delete(running.attempt);
		if (running.targetId !== undefined) {
			this.#options.pool.get(running.targetId)?.attempts.delete(running.attempt);
		}

		record.running = undefined;
	}

	#start(record: RequestRecord, to: Destination, now: Millis): void {
		const {req, route, service, table} = record;
		record.sends += 1;
		record.repeatPaid = false;
		this.#options.queue.push({
			type: 'start',
			...to,
			requestId: req.requestId,
			deadlineMs: Math.max(1, Math.floor(record.deadlineAt - now)),
			urgency: Math.min(lastUrgency, (route.priority * 2) + 1),
			fresh: this.#options.idle.needsFresh(route, service, now),
			stream: route.kind === 'stream',
			resumeAfter: record.lastEventId,
			documentVersion: table.version,
		});
	}

	#next(record: RequestRecord): AttemptNumber {
		this.#last += 1;
		const attempt = this.#last as AttemptNumber;
		this.#records.set(attempt, record);
		return attempt;
	}
}
