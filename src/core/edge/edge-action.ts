import type {BegunStream} from '../control/begun-stream.ts';
import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {OrganisationId} from '../ids/organisation-id.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {SoftwareVersion} from '../ids/software-version.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {OutboxAction} from '../outbox-action.ts';
import type {ProbeAction} from '../targets/probe-action.ts';
import type {EdgeRefusal} from './edge-refusal.ts';

/** Actions that the server carries out for an entry's core. */
export type EdgeAction =
	| OutboxAction
	/** Sends the request to a target, or to another entry. */
	| {
		readonly type: 'start';
		readonly attempt: AttemptNumber;
		readonly requestId: RequestId;
		readonly address: string;
		/** Set for a target: the request names it, so that any other target at the address refuses the request with status 421. */
		readonly targetId?: TargetId;
		/** Start of the target's process. */
		readonly targetBorn?: number;
		/** Time left for the whole answer, in milliseconds. */
		readonly deadlineMs: number;
		/** Priority for the engine's own scheduling, 0 (most urgent) to 9. */
		readonly urgency: number;
		/** True if the request must not reuse an idle connection, which the target may have dropped. */
		readonly fresh: boolean;
		/** True for a stream, whose events are passed on as they arrive. */
		readonly stream: boolean;
		/** Id of the event after which the stream is to be resumed. */
		readonly resumeAfter?: string;
		/** Where the stream began, if the caller has events of it; an entry that gets the request keeps to it. */
		readonly origin?: BegunStream;
		readonly service: ServiceName;
		/** Version of the routes document under which the request is handled. */
		readonly documentVersion: number;
		/** True if the request may run more than once by that document, or by that of the entry that forwarded it. @default false */
		readonly isIdempotent?: boolean;
		/** The organisation whose request it is: its target and another entry are told its name. */
		readonly organisation?: OrganisationId;
		/** True if the caller's own headers with a key and an organisation are sent on as they came, since no organisations are configured. @default false */
		readonly passesCredentials?: boolean;
	}
	| ProbeAction
	/** Aborts an attempt and closes its connection; nothing more of it may reach the caller. */
	| {readonly type: 'cancel'; readonly attempt: AttemptNumber}
	/** Streams the attempt's answer to the caller: the head now, events as they arrive. An entry that forwarded the request is told the software version of the target. */
	| {readonly type: 'pass'; readonly requestId: RequestId; readonly attempt: AttemptNumber; readonly softwareVersion?: SoftwareVersion}
	/** The attempt's answer was read to its end: sends it to the caller, or ends the caller's stream. */
	| {readonly type: 'complete'; readonly requestId: RequestId; readonly attempt: AttemptNumber}
	/** Sends the gateway's own final answer; if the head of a stream was already sent, aborts the caller's connection. */
	| {readonly type: 'refuse'; readonly requestId: RequestId; readonly refusal: EdgeRefusal}
	/** A newer routes document is in force. */
	| {readonly type: 'document'; readonly version: number}
	/** Emitted once after `shut`, when no request is in flight any more. */
	| {readonly type: 'drained'};
