import type {OutboxAction} from '../outbox-action.ts';
import type {CallAnswer} from './call-answer.ts';

/** What the server carries out for a control node. */
export type ControlAction =
	| OutboxAction
	| {readonly type: 'call-answer'; readonly callId: string; readonly answer: CallAnswer}
	/** The journal cannot be written: the process must be started again. */
	| {readonly type: 'disk-failed'; readonly reason: string};
