import type {Millis} from '../ids/millis.ts';
import {destinationOf} from './destination-of.ts';
import type {RequestRecord} from './request-record.ts';

/** Fields of the log event of a request whose caller has left. */
export function describeCallerGone(record: RequestRecord, now: Millis) {
	const {req, running, sends} = record;
	return {
		request: req.callerKey,
		afterMs: Math.round(now - req.arrivedAt),
		target: destinationOf(record),
		sends,
		sentForMs: running === undefined ? undefined : Math.round(now - running.sentAt),
	};
}
