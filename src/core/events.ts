import type {JournalName} from './common/journal-name.ts';
import type {AttemptId} from './ids/attempt-id.ts';
import type {NodeId} from './ids/node-id.ts';
import type {RequestId} from './ids/request-id.ts';
import type {StoredAnswer} from './ledger/stored-answer.ts';
import type {PeerMessage} from './peer-message.ts';
import type {Refusal} from './results/refusal.ts';
import type {RequestInfo} from './settings/request-info.ts';
import type {Announcement} from './targets/announcement.ts';
import type {Change} from './tree/change.ts';

/** What happens to a node; `Node.step` takes one at a time. */
export type CoreEvent =
	/** Sent by the server about every 100 ms. */
	| {readonly type: 'tick'}
	| {readonly type: 'peer'; readonly from: NodeId; readonly message: PeerMessage}
	| {readonly type: 'request'; readonly req: RequestInfo}
	| {readonly type: 'caller-gone'; readonly requestId: RequestId}
	| {readonly type: 'announcement'; readonly announcement: Announcement}
	/** The first byte of the answer came, with a status that stands for success. */
	| {readonly type: 'attempt-first-byte'; readonly attemptId: AttemptId}
	/** More of the answer was passed on; totals of this attempt. */
	| {readonly type: 'attempt-progress'; readonly attemptId: AttemptId; readonly tokens: number; readonly bytes: number}
	/** The whole answer is there: end marker seen, or the announced length reached. */
	| {readonly type: 'attempt-end'; readonly attemptId: AttemptId; readonly tokens: number; readonly bytes: number; readonly answer?: StoredAnswer}
	| {readonly type: 'attempt-failed'; readonly attemptId: AttemptId; readonly failure: AttemptFailure}
	| {readonly type: 'written'; readonly journal: JournalName; readonly token: number}
	| {readonly type: 'write-failed'; readonly journal: JournalName; readonly reason: string}
	| {readonly type: 'change'; readonly change: Change}
	| {readonly type: 'order-result'; readonly orderId: string; readonly ok: boolean; readonly reason?: string}
	/** Take no new requests; report `drained` when the last one in flight has ended. */
	| {readonly type: 'drain'};

/** Why an attempt gave no whole answer. */
type AttemptFailure = {
	readonly reason: 'connect' | 'reset' | 'silence' | 'truncated' | 'refused' | 'error-status';
	/** True only if no byte of the request can have reached the target. */
	readonly notSent: boolean;
	/** True if bytes of the answer were passed on to the caller. */
	readonly passedOn: boolean;
	readonly tokens: number;
	/** Set if a peer's entry refused a forwarded request. */
	readonly refusal?: Refusal;
	/** The target's own status, if it sent one. */
	readonly status?: number;
	readonly retryAfterMs?: number;
};
