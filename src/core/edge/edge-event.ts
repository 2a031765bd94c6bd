import type {AttemptNumber} from '../ids/attempt-number.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {PeerMessage} from '../peer-message.ts';
import type {AnswerHead} from './answer-head.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {EdgeRequest} from './edge-request.ts';

/** What happens to an entry. */
export type EdgeEvent =
	/** Sent by the server about every 50 ms. */
	| {readonly type: 'tick'}
	| {readonly type: 'peer'; readonly from: NodeId; readonly message: PeerMessage}
	| {readonly type: 'request'; readonly req: EdgeRequest}
	| {readonly type: 'caller-gone'; readonly requestId: RequestId}
	| {readonly type: 'attempt-head'; readonly attempt: AttemptNumber; readonly head: AnswerHead}
	/** Whole events of a stream were passed on; `lastId` is the id of the last one. */
	| {readonly type: 'attempt-events'; readonly attempt: AttemptNumber; readonly count: number; readonly lastId?: string}
	| {readonly type: 'attempt-end'; readonly attempt: AttemptNumber}
	| {readonly type: 'attempt-failed'; readonly attempt: AttemptNumber; readonly failure: AttemptFailure}
	/** Take no more requests after those that are on their way. */
	| {readonly type: 'drain'}
	/** From now on new requests are refused. */
	| {readonly type: 'shut'};
