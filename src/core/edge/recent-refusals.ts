import type {CallerKey} from '../ids/caller-key.ts';
import type {Millis} from '../ids/millis.ts';
import type {TargetId} from '../ids/target-id.ts';
import {CountedMap} from '../memory/counted-map.ts';
import type {StateBudget} from '../memory/state-budget.ts';
import type {RequestRecord} from './request-record.ts';

/** Time for which a refusal is remembered, in milliseconds: idle connections to targets are kept for as long at most. */
const retentionMs = 60_000;
/** Memory of a record beside its key, and of a target in it, in bytes. */
const recordBytes = 256;
const targetBytes = 64;
/** Most requests that are remembered. */
const maxRequests = 4096;

/**
 * Remembers which targets refused a request, by the id of its caller.
 *
 * A request may be forwarded to this entry again after it was refused here. A faulty target may write its refusal once
 * more on a kept connection: sent there again under the same id, the request would be told as not run while it runs.
 */
export class RecentRefusals {
	/** In order of the newest refusal. */
	readonly #refusals: CountedMap<CallerKey, {readonly targets: ReadonlySet<TargetId>; readonly at: Millis}>;

	constructor(budget: StateBudget) {
		this.#refusals = new CountedMap({budget, whenFull: 'forget', valueBytes: ({targets}) => recordBytes + (targets.size * targetBytes)});
	}

	record(callerKey: CallerKey, targetId: TargetId, now: Millis): void {
		const targets = new Set([...this.#targetsOf(callerKey, now), targetId]);
		this.#refusals.renew(callerKey, {targets, at: now});
		for (const [oldest, {at}] of this.#refusals) {
			if (this.#refusals.size <= maxRequests && now - at <= retentionMs) {
				break;
			}

			this.#refusals.delete(oldest);
		}
	}

	/** Keeps a forwarded request from the targets that refused it. */
	exclude({req: {callerKey, forwarded}, excludedTargets}: RequestRecord, now: Millis): void {
		if (forwarded === undefined || callerKey === '') {
			return;
		}

		for (const targetId of this.#targetsOf(callerKey, now)) {
			excludedTargets.add(targetId);
		}
	}

	#targetsOf(callerKey: CallerKey, now: Millis): ReadonlySet<TargetId> {
		const known = this.#refusals.get(callerKey);
		return known !== undefined && now - known.at <= retentionMs ? known.targets : new Set();
	}
}
