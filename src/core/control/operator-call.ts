import type {RoutesCommand} from '../routes/routes-command.ts';

/** An operator's request to a control node: change the routes state, or read the routes document. */
export type OperatorCall =
	| {readonly type: 'change'; readonly command: RoutesCommand}
	| {readonly type: 'read'};
