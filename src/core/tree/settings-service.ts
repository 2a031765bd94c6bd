import type {Outbox} from '../common/outbox.ts';
import type {Random} from '../common/random.ts';
import type {Consensus} from '../consensus/consensus.ts';
import type {LogCommand} from '../consensus/log-command.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {KeeperSet} from '../ledger/keeper-set.ts';
import type {Change} from './change.ts';
import {ChangeProposer} from './change-proposer.ts';
import {changeDigest} from './change-digest.ts';
import type {ChangeOutcome} from './change-outcome.ts';
import {ChangeSubmitter} from './change-submitter.ts';
import type {CommandOutcome} from './command-outcome.ts';
import {KeeperSets} from './keeper-sets.ts';
import type {SettingsCopy} from './settings-copy.ts';
import {SettingsFollower} from './settings-follower.ts';
import {SettingsSource} from './settings-source.ts';
import type {SettingsTree} from './settings-tree.ts';
import {StartupSync} from './startup-sync.ts';
import type {SystemState} from './system-state.ts';
import type {TreeMessage} from './tree-message.ts';
import type {TreeService} from './tree-service.ts';
import {TreeState} from './tree-state.ts';

type SettingsServiceOptions = {
	readonly self: NodeId;
	readonly outbox: Outbox;
	readonly random: Random;
	/** Known control nodes, nearest first; this node may be among them. */
	readonly controlNodes: () => readonly NodeId[];
	/** Other nodes to query at start, such as entries of the same region. @default none */
	readonly peers?: () => readonly NodeId[];
	/** Set on control nodes, whose settings come from the replicated log. */
	readonly control?: {readonly consensus: Consensus<CommandOutcome>; readonly state: SystemState};
};

/** Settings service of a node, with or without a member of the replicated log. */
export class SettingsService implements TreeService {
	readonly #options: SettingsServiceOptions;
	/** Settings in force on this node; a control node usually has them from its log, but adopts newer ones from peers too. */
	readonly #copy: SettingsCopy = {tree: new TreeState(), keepers: new KeeperSets()};
	readonly #source: SettingsSource;
	readonly #follower: SettingsFollower;
	readonly #submitter: ChangeSubmitter;
	readonly #startupSync: StartupSync;
	readonly #proposer: ChangeProposer | undefined;

	constructor(options: SettingsServiceOptions) {
		const {self, outbox, random, control, peers = () => []} = options;
		const controlNodes = () => options.controlNodes().filter(nodeId => nodeId !== self);
		const sources = () => [...new Set([...controlNodes(), ...peers()])].filter(nodeId => nodeId !== self);
		this.#options = options;
		this.#source = new SettingsSource(this.#copy, outbox);
		this.#follower = new SettingsFollower({
			copy: this.#copy, outbox, random, controlNodes,
		});
		this.#startupSync = new StartupSync(sources, nodeId => {
			this.#follower.pull(nodeId, false);
		});
		this.#proposer = control && new ChangeProposer({
			...control,
			reply: (to, change, digest, outcome) => {
				this.#reply(to, change, digest, outcome);
			},
		});
		this.#submitter = new ChangeSubmitter({
			outbox,
			random,
			controlNodes,
			handleLocally: (change, digest, now) => this.#proposer?.handle(self, change, digest, now) ?? false,
		});
		this.#updateFromLog();
	}

	get tree(): SettingsTree {
		return this.#copy.tree;
	}

	/** The current keeper set of each region, as far as this node knows. */
	keeperSets(): readonly KeeperSet[] {
		return this.#copy.keepers.all();
	}

	ready(now: Millis): boolean {
		const {control} = this.#options;
		const starting = control?.consensus.status().role === 'starting';
		const state = {revision: this.#copy.tree.revision, hasOwnLog: control !== undefined};
		return !starting && this.#startupSync.isComplete(state, now);
	}

	submit(change: Change, now: Millis): void {
		this.#submitter.submit(change, now);
	}

	takeOutcomes(): ReadonlyArray<{changeId: string; outcome: ChangeOutcome}> {
		return this.#submitter.takeOutcomes();
	}

	/** Handles the result of `Consensus.takeCommitted`: answers the submitters and pushes changes to followers. */
	handleCommitted(entries: ReadonlyArray<{command: LogCommand; outcome: CommandOutcome}>, now: Millis): void {
		this.#updateFromLog();
		for (const {command, outcome} of entries) {
			if (command.type === 'change') {
				this.#proposer?.handleCommitted(command.change, changeDigest(command.change), outcome as ChangeOutcome);
			}
		}

		this.#source.push(now);
	}

	handle(from: NodeId, message: TreeMessage, now: Millis): void {
		switch (message.type) {
			case 'pull': {
				this.#source.handlePull(from, message, now);
				return;
			}

			case 'snapshot-pull': {
				this.#source.handleSnapshotPull(from, message, now);
				return;
			}

			case 'delta':
			case 'snapshot': {
				this.#startupSync.handleAnswer(from, message.revision);
				this.#handleUpdate(from, message, now);
				return;
			}

			case 'submit': {
				this.#handleSubmit(from, message, now);
				return;
			}

			case 'outcome': {
				this.#submitter.handleOutcome(message.changeId, message.digest, message.outcome);
				return;
			}

			case 'redirect': {
				this.#submitter.handleRedirect(message.changeId, message.digest, message.leader, now);
			}
		}
	}

	tick(now: Millis): void {
		this.#startupSync.tick(now);
		this.#submitter.tick(now);
		this.#proposer?.tick(now);
		this.#updateFromLog();
		this.#follower.tick(this.#options.control === undefined, now);
		this.#source.push(now);
	}

	catchUpFrom(ahead: readonly NodeId[], now: Millis): void {
		this.#follower.catchUpFrom(ahead, now);
	}

	#handleUpdate(from: NodeId, message: TreeMessage & {type: 'delta' | 'snapshot'}, now: Millis): void {
		if (message.type === 'delta') {
			this.#follower.handleDelta(from, message, now);
		} else {
			this.#follower.handleSnapshotChunk(from, message, now);
		}

		this.#source.push(now);
	}

	/** Updates the copy in force with what this control node's log has committed. */
	#updateFromLog(): void {
		const {control} = this.#options;
		if (control === undefined) {
			return;
		}

		const {tree, keepers} = this.#copy;
		const {state} = control;
		if (state.keepers.version > keepers.version) {
			keepers.merge(state.keepers.all());
		}

		if (state.tree.revision > tree.revision) {
			tree.advanceTo(state.tree);
		}
	}

	#handleSubmit(from: NodeId, {change, digest}: TreeMessage & {type: 'submit'}, now: Millis): void {
		if (this.#proposer?.handle(from, change, digest, now)) {
			return;
		}

		const leader = this.#options.control?.consensus.leader();
		this.#options.outbox.send(from, {
			part: 'tree',
			body: {
				type: 'redirect', changeId: change.changeId, digest, leader,
			},
		});
	}

	#reply(to: NodeId, change: Change, digest: string, outcome: ChangeOutcome): void {
		const {changeId} = change;
		if (to === this.#options.self) {
			this.#submitter.handleOutcome(changeId, digest, outcome);
			return;
		}

		this.#options.outbox.send(to, {
			part: 'tree',
			body: {
				type: 'outcome', changeId, digest, outcome,
			},
		});
	}
}
