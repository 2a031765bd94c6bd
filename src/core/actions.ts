import type {AttemptId} from './ids/attempt-id.ts';
import type {NodeId} from './ids/node-id.ts';
import type {RequestId} from './ids/request-id.ts';
import type {TargetId} from './ids/target-id.ts';
import type {StoredAnswer} from './ledger/stored-answer.ts';
import type {EngineOrder} from './orders/engine-order.ts';
import type {OutboxAction} from './outbox-action.ts';
import type {Refusal} from './results/refusal.ts';
import type {ChangeOutcome} from './tree/change-outcome.ts';

/** What the server carries out for the core. */
export type Action =
	| OutboxAction
	/** Sends the request's body to `address`; the attempt owns the request until it ends or is cancelled. */
	| {
		readonly type: 'start-attempt';
		readonly requestId: RequestId;
		readonly attemptId: AttemptId;
		readonly address: string;
		/** Set for a target of this region. */
		readonly targetId?: TargetId;
		/** Set for an entry of another region that the request is forwarded to. */
		readonly forwardTo?: NodeId;
		/** Settings revision that a forwarded request was decided under. */
		readonly revision: number;
		/** True if this entry holds the request's claim; a peer that gets it forwarded must not claim again. */
		readonly claimed: boolean;
		/** True if the answer goes on from the text already passed on. */
		readonly resume: boolean;
		/** Time left until the first byte is wanted, in milliseconds; a peer that gets it forwarded counts from there. */
		readonly deadlineMs: number;
		/** Longest time to the first byte and inside the answer, in milliseconds. */
		readonly firstByteMs: number;
		readonly silenceMs: number;
		/** Largest answer to hand back with `attempt-end` for keeping; 0 for none. */
		readonly keepBytes: number;
	}
	/** Stops an attempt; nothing more of it may reach the caller. */
	| {readonly type: 'cancel-attempt'; readonly attemptId: AttemptId}
	/** The attempt's whole answer is the request's: the server closes the caller's response as complete. */
	| {readonly type: 'complete'; readonly requestId: RequestId; readonly attemptId: AttemptId}
	/** Final answer that is not a target's; inside a stream it becomes an error event without an end marker. */
	| {readonly type: 'refuse'; readonly requestId: RequestId; readonly refusal: Refusal}
	| {readonly type: 'replay'; readonly requestId: RequestId; readonly answer: StoredAnswer}
	| {readonly type: 'change-answer'; readonly changeId: string; readonly outcome: ChangeOutcome}
	| {readonly type: 'order'; readonly order: EngineOrder}
	/** The settings in force changed; the server may refresh what it caches. */
	| {readonly type: 'settings'; readonly revision: number}
	/** No request is in flight any more after `drain`. */
	| {readonly type: 'drained'};
