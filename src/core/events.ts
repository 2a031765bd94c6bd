import type {ConnectionUse} from './common/connection-use.ts';
import type {JournalName} from './common/journal-name.ts';
import type {AttemptId} from './ids/attempt-id.ts';
import type {NodeId} from './ids/node-id.ts';
import type {RequestId} from './ids/request-id.ts';
import type {StoredAnswer} from './ledger/stored-answer.ts';
import type {PeerMessage} from './peer-message.ts';
import type {Refusal} from './results/refusal.ts';
import type {RequestInfo} from './settings/request-info.ts';
import type {Announcement} from './targets/announcement.ts';
import type {ProbeResult} from './targets/probe-result.ts';
import type {TargetNotice} from './targets/target-notice.ts';
import type {Change} from './tree/change.ts';

/** Input events of the core; `GatewayCore.step` handles one at a time. */
export type CoreEvent =
	/** Sent by the server about every 100 ms. */
	| {readonly type: 'tick'}
	| {readonly type: 'peer'; readonly from: NodeId; readonly message: PeerMessage}
	| {readonly type: 'request'; readonly req: RequestInfo}
	| {readonly type: 'caller-gone'; readonly requestId: RequestId}
	| {readonly type: 'announcement'; readonly announcement: Announcement}
	/** The head of the answer arrived, and says something of the requests that the target wants. */
	| {readonly type: 'target-notice'; readonly attemptId: AttemptId; readonly notice: TargetNotice}
	/** The first byte of the answer arrived, with a status that means success. */
	| {readonly type: 'attempt-first-byte'; readonly attemptId: AttemptId}
	/** More of the answer was sent to the caller, or assembled for a caller that did not ask for a stream; totals of this attempt. */
	| {readonly type: 'attempt-progress'; readonly attemptId: AttemptId; readonly tokens: number; readonly bytes: number}
	/** The answer is complete: its end marker arrived, or its declared length was reached. */
	| {readonly type: 'attempt-end'; readonly attemptId: AttemptId; readonly tokens: number; readonly bytes: number; readonly answer?: StoredAnswer}
	| {readonly type: 'attempt-failed'; readonly attemptId: AttemptId; readonly failure: AttemptFailure}
	| ProbeResult
	| {readonly type: 'written'; readonly journal: JournalName; readonly token: number}
	| {readonly type: 'write-failed'; readonly journal: JournalName; readonly reason: string}
	| {readonly type: 'change'; readonly change: Change}
	| {readonly type: 'order-result'; readonly orderId: string; readonly ok: boolean; readonly reason?: string}
	/** Stops accepting requests; `drained` follows when the last one in flight has ended. */
	| {readonly type: 'drain'};

/** Why an attempt returned no complete answer. */
type AttemptFailure = {
	/** `refused`: the target said that it has not run the request, or the remote entry refused it; `error-status`: it sent any other error status. */
	readonly reason: 'connect' | 'reset' | 'silence' | 'truncated' | 'malformed' | 'refused' | 'error-status';
	/** True only if it is certain that the request did not run: no byte of it reached the target, or the target or remote entry said so. */
	readonly notSent: boolean;
	/** True if a part of the answer was sent to the caller, or assembled for a caller that did not ask for a stream. */
	readonly passedOn: boolean;
	/** Output tokens received in this attempt. */
	readonly tokens: number;
	/** Set if the entry of a remote region refused a forwarded request. */
	readonly refusal?: Refusal;
	/** HTTP status of the target's response, if it sent one. */
	readonly status?: number;
	readonly retryAfterMs?: number;
	/** The connection on which an answer came; absent without one. */
	readonly use?: ConnectionUse;
};
