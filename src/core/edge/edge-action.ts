import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {OutboxAction} from '../outbox-action.ts';
import type {EdgeRefusal} from './edge-refusal.ts';

/** What the server carries out for an entry. */
export type EdgeAction =
	| OutboxAction
	/** Sends the request to a target, or to another entry. */
	| {
		readonly type: 'start';
		readonly attempt: AttemptNumber;
		readonly requestId: RequestId;
		readonly address: string;
		/** Set for a target: the one that must answer. */
		readonly targetId?: TargetId;
		/** Time that is left for the answer, in milliseconds. */
		readonly deadlineMs: number;
		/** 0 to 9, 0 first, for engines. */
		readonly urgency: number;
		/** True if it must not go out on a connection that has rested: it could be reset there. */
		readonly fresh: boolean;
		/** True for a stream, whose events are passed on one by one. */
		readonly stream: boolean;
		/** Id of the event after which the stream goes on. */
		readonly resumeAfter?: string;
		/** Version of the routes document that the request was decided under. */
		readonly documentVersion: number;
	}
	/** Stops an attempt and closes its connection; nothing more of it may reach the caller. */
	| {readonly type: 'cancel'; readonly attempt: AttemptNumber}
	/** The attempt's answer is the request's: its head and events go to the caller as they come. */
	| {readonly type: 'pass'; readonly requestId: RequestId; readonly attempt: AttemptNumber}
	/** The attempt's whole answer was read: the caller gets it, or the end of its stream. */
	| {readonly type: 'complete'; readonly requestId: RequestId; readonly attempt: AttemptNumber}
	/** A final answer of the gateway's own; inside a stream the caller's connection is broken off. */
	| {readonly type: 'refuse'; readonly requestId: RequestId; readonly refusal: EdgeRefusal}
	| {readonly type: 'document'; readonly version: number}
	/** No request is in flight any more after `shut`. */
	| {readonly type: 'drained'};
