import type {JournalName} from '../common/journal-name.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {PeerMessage} from '../peer-message.ts';
import type {TargetReport} from '../registry/target-report.ts';
import type {OperatorCall} from './operator-call.ts';

/** Input of a control node's core. */
export type ControlEvent =
	/** Sent by the server about every 50 ms. */
	| {readonly type: 'tick'}
	| {readonly type: 'peer'; readonly from: NodeId; readonly message: PeerMessage}
	| {readonly type: 'written'; readonly journal: JournalName; readonly token: number}
	| {readonly type: 'write-failed'; readonly journal: JournalName; readonly reason: string}
	/** `receivedAt` is the time at which the call was read. @default now */
	| {readonly type: 'call'; readonly callId: string; readonly call: OperatorCall; readonly receivedAt?: Millis}
	/** The operator waits for the answer no more; a change that is not proposed yet is dropped. */
	| {readonly type: 'call-abandoned'; readonly callId: string}
	| {readonly type: 'report'; readonly report: TargetReport}
	/** A target deregisters; `born` is that of the incarnation, if known, and `wallClock` this machine's Unix time in milliseconds. */
	| {readonly type: 'withdraw'; readonly targetId: TargetId; readonly born?: number; readonly wallClock: number};
