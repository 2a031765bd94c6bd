import type {Millis} from '../ids/millis.ts';
import {destinationOf} from './destination-of.ts';
import type {RequestRecord} from './request-record.ts';
import {sharedParts} from './shared-parts.ts';
import {softwareVersionOf} from './software-version-of.ts';

/** Fields of the log line about an attempt that failed, before it is released. */
export function describeFailedAttempt(record: RequestRecord, reason: string, now: Millis): Readonly<Record<string, unknown>> {
	const {running, req} = record;
	return {
		request: req.callerKey,
		target: destinationOf(record),
		reason,
		events: running?.events,
		unframed: running?.head?.unframed,
		softwareVersion: running && softwareVersionOf(running),
		fingerprint: req.fingerprint,
		parts: req.prompt && sharedParts(req.prompt).map(({id}) => id),
		afterMs: Math.round(now - (running?.sentAt ?? now)),
	};
}
