import type {ConsensusStatus} from './consensus/consensus-status.ts';
import type {NodeId} from './ids/node-id.ts';
import type {Region} from './ids/region.ts';
import type {Zone} from './ids/zone.ts';
import type {KeeperSet} from './ledger/keeper-set.ts';
import type {NodeRole} from './membership/node-role.ts';

/** Output of `lovageferry status`: the state of one node and its view of nodes, regions and keepers. */
export type NodeStatus = {
	readonly node: NodeId;
	readonly region: Region;
	readonly zone: Zone;
	readonly roles: readonly NodeRole[];
	readonly ready: boolean;
	readonly draining: boolean;
	readonly revision: number;
	readonly inFlight: number;
	readonly load: number;
	/** Present on members of the replicated log. */
	readonly control?: ConsensusStatus;
	readonly nodes: ReadonlyArray<{node: NodeId; zone: Zone; state: string; draining: boolean; revision: number; load: number}>;
	readonly regions: ReadonlyArray<{region: Region; reachable: boolean; revision: number; ageMs: number; roundTripMs: number}>;
	readonly keepers: readonly KeeperSet[];
	/** This node's state as a keeper of claims (a replica that stores them); `lost` waits for an operator's decision. */
	readonly keeper: {readonly role: 'none' | 'active' | 'joining' | 'lost' | 'ineligible'; readonly epoch: number; readonly claims: number};
};
