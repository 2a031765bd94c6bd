import type {OperatorCommand} from './operator-command.ts';

/** An operator's request to a control node: change the routes state, or read the routes document. */
export type OperatorCall =
	| {readonly type: 'change'; readonly command: OperatorCommand}
	| {readonly type: 'read'};
