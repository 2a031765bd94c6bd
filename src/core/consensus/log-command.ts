import type {KeeperSet} from '../ledger/keeper-set.ts';
import type {RoutesCommand} from '../routes/routes-command.ts';
import type {Change} from '../tree/change.ts';

/** A command of the replicated log. The index of a `lead` command is the fencing number of the orders issued by that leader. */
export type LogCommand =
	| {readonly type: 'change'; readonly change: Change}
	| RoutesCommand
	| {readonly type: 'keepers'; readonly set: KeeperSet}
	| {readonly type: 'lead'; readonly nodeId: string}
	| {readonly type: 'weight-budget'; readonly deployment: string; readonly bytes: number; readonly at: number};
