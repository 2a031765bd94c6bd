import type {KeeperSet} from '../ledger/keeper-set.ts';
import type {TreeSnapshot} from './tree-snapshot.ts';

/** All settings, as sent to a node that is too far behind for a delta. */
export type SettingsSnapshot = {
	readonly tree: TreeSnapshot;
	readonly keepers: readonly KeeperSet[];
};
