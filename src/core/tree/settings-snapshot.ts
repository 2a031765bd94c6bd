import type {KeeperSet} from '../ledger/keeper-set.ts';
import type {TreeSnapshot} from './tree-snapshot.ts';

/** The whole settings as they are sent to a node that is far behind. */
export type SettingsSnapshot = {
	readonly tree: TreeSnapshot;
	readonly keepers: readonly KeeperSet[];
};
