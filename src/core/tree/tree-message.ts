import type {NodeId} from '../ids/node-id.ts';
import type {KeeperSet} from '../ledger/keeper-set.ts';
import type {Change} from './change.ts';
import type {ChangeOutcome} from './change-outcome.ts';

/** A message between the settings services of two processes. */
export type TreeMessage =
	/** Requests what is newer than the sender's copy; with `follow` also later changes, for a few seconds. `keepers` is the version of its keeper sets. */
	| {readonly type: 'pull'; readonly revision: number; readonly keepers: number; readonly follow: boolean}
	/** Accepted changes after revision `base`, oldest first; `revision` is the sender's own. Answers each `pull`. */
	| {readonly type: 'delta'; readonly base: number; readonly changes: readonly Change[]; readonly keepers: readonly KeeperSet[]; readonly revision: number}
	/** A chunk of all settings as JSON text, for a node that is too far behind for a delta. */
	| {readonly type: 'snapshot'; readonly revision: number; readonly offset: number; readonly total: number; readonly text: string}
	| {readonly type: 'snapshot-pull'; readonly revision: number; readonly offset: number}
	/** Submits a change to the leader; `digest` distinguishes changes with the same id. */
	| {readonly type: 'submit'; readonly change: Change; readonly digest: string}
	| {readonly type: 'outcome'; readonly changeId: string; readonly digest: string; readonly outcome: ChangeOutcome}
	/** Answer to `submit` by a node that is not the leader; `leader` is the one it knows of. */
	| {readonly type: 'redirect'; readonly changeId: string; readonly digest: string; readonly leader?: NodeId};
