import type {KeeperSet} from '../ledger/keeper-set.ts';
import type {RoutesSnapshot} from '../routes/routes-snapshot.ts';
import type {ChangeOutcomeStore} from './change-outcome-store.ts';
import type {TreeSnapshot} from './tree-snapshot.ts';
import type {WeightBudget} from './weight-budget.ts';

/** The whole replicated state as plain data. */
export type SystemSnapshot = {
	readonly tree: TreeSnapshot;
	/** Outcomes of the newest changes by id. */
	readonly remembered: ReturnType<ChangeOutcomeStore['snapshot']>;
	readonly keepers: readonly KeeperSet[];
	readonly lead?: {readonly nodeId: string; readonly fencing: number};
	readonly budgets: readonly WeightBudget[];
	/** Absent in snapshots of versions before 0.2. */
	readonly routes?: RoutesSnapshot;
};
