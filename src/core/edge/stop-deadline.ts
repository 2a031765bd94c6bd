import type {Millis} from '../ids/millis.ts';
import type {WaitingRequests} from '../admission/waiting-requests.ts';
import type {RequestRecord} from './request-record.ts';

/**
 * Decides until when requests may go on at an entry that stops.
 *
 * Load pattern: entries are stopped one after the other, also at peak load, while requests wait for capacity, run at
 * targets or still arrive. A request that cannot start before the entry ends is refused at once, and one that waits
 * when the entry stops accepting requests, if it has more time than the entry: its caller can go to another entry. One
 * that still runs at the end gets a final answer before its connection is closed.
 */
export class StopDeadline {
	#at: Millis | undefined;

	/** Sets the time by which each request must have its final answer. */
	set(at: Millis): void {
		this.#at = at;
	}

	/** Shortens the time of a request to that of the entry. */
	apply(record: RequestRecord): void {
		if (this.#at !== undefined && this.#at < record.deadlineAt) {
			record.deadlineAt = this.#at;
			record.cutByStop = true;
		}
	}

	/** Requests that wait, although another entry has more time for them. A stream that has begun goes on as long as it can: refusing it would break it off. */
	leavers(waiting: WaitingRequests<RequestRecord>): readonly RequestRecord[] {
		return waiting.items().filter(({cutByStop, headPassed}) => cutByStop && !headPassed);
	}
}
