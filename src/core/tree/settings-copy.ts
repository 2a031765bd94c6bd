import type {KeeperSets} from './keeper-sets.ts';
import type {TreeState} from './tree-state.ts';

/** A node's copy of the settings that are replicated to all nodes. */
export type SettingsCopy = {
	readonly tree: TreeState;
	readonly keepers: KeeperSets;
};
