import type {OutboxAction} from '../outbox-action.ts';
import type {CallAnswer} from './call-answer.ts';

/** Side effects that the server performs for a control node. */
export type ControlAction =
	| OutboxAction
	| {readonly type: 'call-answer'; readonly callId: string; readonly answer: CallAnswer};
