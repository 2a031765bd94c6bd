import {controlTiming} from '../control/control-timing.ts';
import type {Millis} from '../ids/millis.ts';
import type {EdgeRequest} from './edge-request.ts';

/** Longest time for which a request waits for the routes, in milliseconds; callers give up a connection on which nothing happens after about that time. */
const maxRoutesWaitMs = 1000;
/** Largest share of a caller's time that it may wait for the routes. */
const maxRoutesWaitShare = 1 / 3;
/** Report intervals of targets within which all of them have reported to control nodes that have started anew. */
const reportIntervals = 1.5;

type StartupWaitOptions = {
	/** Interval between two reports of a target, in milliseconds. */
	readonly reportEveryMs: number;
};

/**
 * Decides which requests wait while an entry does not know its routes or targets yet.
 *
 * Load pattern: everything comes back at once, after a power loss or a restart of all processes. Callers return at once;
 * control nodes have the routes on their disks, but know targets only once these have reported again, up to one report
 * interval later. A caller that is refused meanwhile loses more time than one that waits.
 */
export class StartupWait {
	readonly #options: StartupWaitOptions;
	#firstFeedAt: Millis | undefined;

	constructor(options: StartupWaitOptions) {
		this.#options = options;
	}

	/** Records that control has sent targets; true for the first time. */
	recordFeed(now: Millis): boolean {
		const isFirst = this.#firstFeedAt === undefined;
		this.#firstFeedAt ??= now;
		return isFirst;
	}

	/** True if a request may wait for the routes. Another entry that forwarded a request should place it elsewhere instead. */
	mayWaitForRoutes({arrivedAt, budgetMs = Number.POSITIVE_INFINITY, forwarded}: EdgeRequest, now: Millis): boolean {
		return forwarded === undefined && now - arrivedAt < Math.min(maxRoutesWaitMs, maxRoutesWaitShare * budgetMs);
	}

	/** True while targets that serve may not have been listed yet. */
	expectsTargets(now: Millis): boolean {
		const waitMs = (reportIntervals * this.#options.reportEveryMs) + controlTiming.statusIntervalMs;
		return this.#firstFeedAt === undefined || now - this.#firstFeedAt < waitMs;
	}
}
