import type {AttemptId} from './ids/attempt-id.ts';
import type {NodeId} from './ids/node-id.ts';
import type {RequestId} from './ids/request-id.ts';
import type {TargetId} from './ids/target-id.ts';
import type {StoredAnswer} from './ledger/stored-answer.ts';
import type {EngineOrder} from './orders/engine-order.ts';
import type {OutboxAction} from './outbox-action.ts';
import type {Refusal} from './results/refusal.ts';
import type {ProbeAction} from './targets/probe-action.ts';
import type {ChangeOutcome} from './tree/change-outcome.ts';

/** Actions that the core returns and the server executes. */
export type Action =
	| OutboxAction
	/** Sends the request's body to `address`; unless it is on standby, the attempt is the request's only one until it ends or is cancelled. */
	| {
		readonly type: 'start-attempt';
		readonly requestId: RequestId;
		readonly attemptId: AttemptId;
		readonly address: string;
		/** Set if the request goes to a target of this region. */
		readonly targetId?: TargetId;
		/** Set if the request is forwarded to another entry. */
		readonly forwardTo?: NodeId;
		/** Settings revision under which the decision to forward was made. */
		readonly revision: number;
		/** True if this entry holds the request's claim, so that the entry it is forwarded to must not claim it again. */
		readonly claimed: boolean;
		/** True if the answer continues after the text already sent to the caller. */
		readonly resume: boolean;
		/** True if an earlier attempt may still write to the caller: this one may not until it is handed the request over. */
		readonly standby: boolean;
		/** Time left until the deadline for the first byte, in milliseconds; the entry that it is forwarded to counts from its arrival. */
		readonly deadlineMs: number;
		/** Longest time to the first byte, in milliseconds. */
		readonly firstByteMs: number;
		/** Longest silence inside the answer, in milliseconds. */
		readonly silenceMs: number;
		/** Largest answer to return with `attempt-end` for storing, in bytes; 0 returns none. */
		readonly keepBytes: number;
	}
	| ProbeAction
	/** An attempt on standby takes the request over: from now on, only this one may write to the caller. */
	| {readonly type: 'hand-over'; readonly requestId: RequestId; readonly attemptId: AttemptId; readonly resume: boolean}
	/** Cancels an attempt; nothing more of its answer may reach the caller. */
	| {readonly type: 'cancel-attempt'; readonly attemptId: AttemptId}
	/** Accepts the attempt's complete answer: the server ends the caller's response as complete. */
	| {readonly type: 'complete'; readonly requestId: RequestId; readonly attemptId: AttemptId}
	/** Ends the request with a refusal; inside a stream it is sent as an error event without an end marker. */
	| {readonly type: 'refuse'; readonly requestId: RequestId; readonly refusal: Refusal}
	| {readonly type: 'replay'; readonly requestId: RequestId; readonly answer: StoredAnswer}
	| {readonly type: 'change-answer'; readonly changeId: string; readonly outcome: ChangeOutcome}
	| {readonly type: 'order'; readonly order: EngineOrder}
	/** The settings in force changed; the server may refresh its caches. */
	| {readonly type: 'settings'; readonly revision: number}
	/** The last request in flight after `drain` has ended. */
	| {readonly type: 'drained'};
