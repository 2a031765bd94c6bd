import type {NodeId} from '../ids/node-id.ts';
import type {KeeperSet} from '../ledger/keeper-set.ts';
import type {Change} from './change.ts';
import type {ChangeOutcome} from './change-outcome.ts';

/** Messages of the tree part between processes. */
export type TreeMessage =
	/** Asks for what is newer than the sender's copy; `follow` also asks to be told of later changes for a few seconds. */
	| {readonly type: 'pull'; readonly revision: number; readonly keepers: number; readonly follow: boolean}
	/** Accepted changes after revision `base`, oldest first; `revision` is the sender's own. Answers each `pull`. */
	| {readonly type: 'delta'; readonly base: number; readonly changes: readonly Change[]; readonly keepers: readonly KeeperSet[]; readonly revision: number}
	/** One part of the whole settings as JSON text, for a node that is too far behind for a delta. */
	| {readonly type: 'snapshot'; readonly revision: number; readonly offset: number; readonly total: number; readonly text: string}
	| {readonly type: 'snapshot-pull'; readonly revision: number; readonly offset: number}
	/** Asks the leader to decide a change; `digest` tells changes with one id apart. */
	| {readonly type: 'submit'; readonly change: Change; readonly digest: string}
	| {readonly type: 'outcome'; readonly changeId: string; readonly digest: string; readonly outcome: ChangeOutcome}
	/** The receiver of a `submit` does not lead. */
	| {readonly type: 'redirect'; readonly changeId: string; readonly digest: string; readonly leader?: NodeId};
