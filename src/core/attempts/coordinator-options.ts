import type {Action} from '../actions.ts';
import type {AdmissionQueue} from '../admission/admission-queue.ts';
import type {Outbox} from '../common/outbox.ts';
import type {Random} from '../common/random.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {Ledger} from '../ledger/ledger.ts';
import type {Membership} from '../membership/membership.ts';
import type {Router} from '../routing/router.ts';
import type {TargetTable} from '../targets/target-table.ts';
import type {SettingsTree} from '../tree/settings-tree.ts';
import type {PoisonGuard} from './poison-guard.ts';
import type {RetryBudget} from './retry-budget.ts';

/** Identity and collaborators of the request coordinator. */
export type CoordinatorOptions = {
	readonly self: NodeId;
	readonly region: Region;
	/** Returns the settings in force now. */
	readonly tree: () => SettingsTree;
	readonly router: Router;
	readonly admission: AdmissionQueue;
	readonly targets: TargetTable;
	readonly ledger: Ledger;
	readonly membership: Membership;
	readonly retryBudget: RetryBudget;
	readonly poison: PoisonGuard;
	readonly random: Random;
	readonly outbox: Outbox;
	readonly emit: (action: Action) => void;
};
