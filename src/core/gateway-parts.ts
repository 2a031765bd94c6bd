import type {ActionQueue} from './action-queue.ts';
import {FairAdmissionQueue} from './admission/fair-admission-queue.ts';
import {RequestCoordinator} from './attempts/request-coordinator.ts';
import {SuspectPoisonGuard} from './attempts/suspect-poison-guard.ts';
import {TokenRetryBudget} from './attempts/token-retry-budget.ts';
import type {LoadedJournal} from './common/loaded-journal.ts';
import type {ConsensusRecord} from './consensus/consensus-record.ts';
import {RaftMember} from './consensus/raft-member.ts';
import type {GatewayCoreOptions} from './gateway-core-options.ts';
import type {Millis} from './ids/millis.ts';
import type {NodeId} from './ids/node-id.ts';
import type {Region} from './ids/region.ts';
import {LeaderTasks} from './leader-tasks.ts';
import {ClaimLedger} from './ledger/claim-ledger.ts';
import {KeeperPlacement} from './ledger/keeper-placement.ts';
import type {KeeperSet} from './ledger/keeper-set.ts';
import type {LedgerRecord} from './ledger/ledger-record.ts';
import {ClusterMembership} from './membership/cluster-membership.ts';
import type {NodeInfo} from './membership/node-info.ts';
import {rankByHash} from './membership/rank-by-hash.ts';
import {OrderManager} from './orders/order-manager.ts';
import {PipelineRouter} from './routing/pipeline-router.ts';
import {RegionalTargetTable} from './targets/regional-target-table.ts';
import type {CommandOutcome} from './tree/command-outcome.ts';
import {SettingsService} from './tree/settings-service.ts';
import {SystemState} from './tree/system-state.ts';

/** Smallest number of keepers of a region, also while no firm has settings. */
const minKeepers = 1;

/** Creates and connects the parts of a node's core; their only output is the action queue. */
export class GatewayParts {
	readonly membership: ClusterMembership;
	/** Present on members of the replicated log. */
	readonly consensus?: RaftMember<CommandOutcome>;
	readonly leaderTasks?: LeaderTasks;
	readonly settings: SettingsService;
	readonly targets: RegionalTargetTable;
	readonly ledger: ClaimLedger;
	readonly poison: SuspectPoisonGuard;
	readonly requests: RequestCoordinator;
	readonly orders: OrderManager;
	/** Time of the event that is being handled, for parts that query the membership without a `now` of their own. */
	now = 0 as Millis;
	readonly #options: GatewayCoreOptions;
	readonly #keeperPlacement = new KeeperPlacement();

	constructor(options: GatewayCoreOptions, outbox: ActionQueue) {
		const {self, seeds, random, storage, controlMembers} = options;
		const controlNodes = rankControlNodes(self, seeds);
		this.#options = options;
		this.membership = new ClusterMembership({
			self, seeds, outbox, random,
		});
		const state = new SystemState();
		if (storage && self.roles.includes('control')) {
			this.consensus = new RaftMember({
				self: self.nodeId,
				storageId: storage.storageId,
				initialMembers: controlMembers,
				loadedJournal: storage.consensus as LoadedJournal<ConsensusRecord>,
				state,
				outbox,
				random,
			});
		}

		this.settings = new SettingsService({
			self: self.nodeId,
			outbox,
			random,
			controlNodes: () => controlNodes,
			peers: () => this.#regionPeers(),
			control: this.consensus && {consensus: this.consensus, state},
		});
		this.targets = new RegionalTargetTable({
			self: self.nodeId,
			entries: () => this.#regionPeers(),
			outbox,
			random,
			emit(action) {
				outbox.push(action);
			},
		});
		this.ledger = new ClaimLedger({
			self: self.nodeId,
			region: self.region,
			incarnation: self.incarnation,
			hasDisk: storage !== undefined,
			loadedJournal: storage?.ledger as LoadedJournal<LedgerRecord> | undefined,
			outbox,
			membership: this.membership,
			now: options.startedAt,
			state: options.state,
		});
		this.poison = new SuspectPoisonGuard({
			self: self.nodeId,
			peers: () => this.#regionPeers(),
			remoteEntries: () => this.#entriesByRegion().filter(({region}) => region !== self.region).map(({entries}) => entries),
			outbox,
			state: options.state,
		});
		this.orders = new OrderManager({
			tree: () => this.settings.tree,
			targets: this.targets,
			entriesByRegion: () => this.#entriesByRegion(),
			outbox,
			propose: (command, now) => {
				this.consensus?.propose(command, now);
			},
			loggedBudget: deployment => state.weightBudget(deployment),
		});
		this.leaderTasks = this.consensus && new LeaderTasks({self: self.nodeId, consensus: this.consensus, planKeepers: now => this.#planKeepers(now)});
		this.requests = new RequestCoordinator({
			self: self.nodeId,
			region: self.region,
			tree: () => this.settings.tree,
			router: new PipelineRouter({random}),
			admission: new FairAdmissionQueue({random}),
			targets: this.targets,
			ledger: this.ledger,
			membership: this.membership,
			retryBudget: new TokenRetryBudget(),
			poison: this.poison,
			random,
			outbox,
			emit(action) {
				outbox.push(action);
			},
		});
	}

	/** The other nodes of this node's region, of any role, that are not dead. */
	#regionPeers(): readonly NodeId[] {
		return this.membership.nodes()
			.filter(({info, state}) => state !== 'dead' && info.nodeId !== this.#options.self.nodeId)
			.map(({info}) => info.nodeId);
	}

	/** Live entries of every reachable region, this node's own included. */
	#entriesByRegion(): ReadonlyArray<{region: Region; entries: readonly NodeId[]}> {
		return this.membership.regions(this.now)
			.filter(view => view.reachable)
			.map(({region, entries}) => ({region, entries}));
	}

	/** Keeper sets that should replace the current ones; an unreachable region keeps its set. */
	#planKeepers(now: Millis): readonly KeeperSet[] {
		const current = new Map(this.settings.keeperSets().map(set => [set.region, set]));
		const size = this.#requiredKeepers();
		return this.membership.regions(now)
			.filter(view => view.reachable)
			.map(({region, candidates}) => this.#keeperPlacement.propose({
				region,
				nodes: region === this.#options.self.region ? this.membership.nodes() : candidates,
				current: current.get(region),
				size,
			}, now))
			.filter(set => set !== undefined);
	}

	/** The largest number of keepers in the settings of any firm. */
	#requiredKeepers(): number {
		const {tree} = this.settings;
		const firms = tree.paths().filter(path => !path.includes('/'));
		return Math.max(minKeepers, ...firms.map(path => tree.resolve(path)?.keepers ?? minKeepers));
	}
}

/** Control nodes named in the settings, those of this region first; each node has its own order, so that followers spread over them. */
function rankControlNodes(self: NodeInfo, seeds: readonly NodeInfo[]): readonly NodeId[] {
	const known = rankByHash(seeds.filter(seed => seed.roles.includes('control')), seed => `${self.nodeId}:${seed.nodeId}`);
	const own = known.filter(seed => seed.region === self.region);
	const others = known.filter(seed => seed.region !== self.region);
	return [...own, ...others].map(seed => seed.nodeId);
}
