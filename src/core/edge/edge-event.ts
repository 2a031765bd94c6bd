import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {PeerMessage} from '../peer-message.ts';
import type {ProbeResult} from '../targets/probe-result.ts';
import type {AnswerHead} from './answer-head.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {EdgeRequest} from './edge-request.ts';

/** Events that the server passes to an entry's core. */
export type EdgeEvent =
	/** Sent by the server about every 50 ms. */
	| {readonly type: 'tick'}
	| {readonly type: 'peer'; readonly from: NodeId; readonly message: PeerMessage}
	| {readonly type: 'request'; readonly req: EdgeRequest}
	| {readonly type: 'caller-gone'; readonly requestId: RequestId}
	/** The entry that the attempt was forwarded to tells that its target works on it; the head may follow much later. */
	| {readonly type: 'attempt-working'; readonly attempt: AttemptNumber}
	| {readonly type: 'attempt-head'; readonly attempt: AttemptNumber; readonly head: AnswerHead}
	/** Complete events of a stream were passed on to the caller; `lastId` is the id of the last one. */
	| {readonly type: 'attempt-events'; readonly attempt: AttemptNumber; readonly count: number; readonly lastId?: string}
	/** The answer is not read on until its caller takes more of it, or is read on again. */
	| {readonly type: 'attempt-held'; readonly attempt: AttemptNumber; readonly held: boolean}
	/** The answer was read to its end; `truncated` if that end shows that it was broken off. */
	| {readonly type: 'attempt-end'; readonly attempt: AttemptNumber; readonly truncated: boolean}
	| {readonly type: 'attempt-failed'; readonly attempt: AttemptNumber; readonly failure: AttemptFailure}
	| ProbeResult
	/** A target or another entry reset a connection, whether or not an attempt used it. */
	| {readonly type: 'connection-reset'; readonly address: string}
	/** The entry is about to stop: it reports itself as leaving, and still accepts requests that are on their way. Each must have its final answer within `answerMs`. */
	| {readonly type: 'drain'; readonly answerMs: number}
	/** New requests are refused from now on. */
	| {readonly type: 'shut'}
	/** The entry closes its connections next: what is left gets its final answer. */
	| {readonly type: 'end'};
