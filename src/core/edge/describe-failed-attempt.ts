import type {AwakeClock} from '../common/awake-clock.ts';
import type {Millis} from '../ids/millis.ts';
import {destinationOf} from './destination-of.ts';
import type {RequestRecord} from './request-record.ts';
import {sharedParts} from './shared-parts.ts';
import {softwareVersionOf} from './software-version-of.ts';

/** Fields of the log line about an attempt that failed, before it is released; `silentMs` is the time without a sign of it, `stoodStillMs` the part of that time in which this process stood still. */
export function describeFailedAttempt(record: RequestRecord, reason: string, clock: AwakeClock, now: Millis): Readonly<Record<string, unknown>> {
	const {running, req} = record;
	const silentMs = now - (running?.lastProgressAt ?? now);
	const awakeSilentMs = clock.now - (running?.lastProgressAwakeAt ?? clock.now);
	return {
		request: req.callerKey,
		target: destinationOf(record),
		reason,
		events: running?.events,
		passedEvents: record.passedEvents,
		silentMs: Math.round(silentMs),
		stoodStillMs: Math.round(silentMs - awakeSilentMs),
		unframed: running?.head?.unframed,
		softwareVersion: running && softwareVersionOf(running),
		fingerprint: req.fingerprint,
		parts: req.prompt && sharedParts(req.prompt).map(({id}) => id),
		afterMs: Math.round(now - (running?.sentAt ?? now)),
	};
}
