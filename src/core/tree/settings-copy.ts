import type {KeeperSets} from './keeper-sets.ts';
import type {TreeState} from './tree-state.ts';

/** One node's copy of what is spread to all nodes. */
export type SettingsCopy = {
	readonly tree: TreeState;
	readonly keepers: KeeperSets;
};
