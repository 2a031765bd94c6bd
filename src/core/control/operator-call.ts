import type {RoutesCommand} from '../routes/routes-command.ts';

/** What an operator asks of a control node. */
export type OperatorCall =
	| {readonly type: 'change'; readonly command: RoutesCommand}
	| {readonly type: 'read'};
