import type {Consensus} from './consensus/consensus.ts';
import type {LogCommand} from './consensus/log-command.ts';
import type {Millis} from './ids/millis.ts';
import type {NodeId} from './ids/node-id.ts';
import type {KeeperSet} from './ledger/keeper-set.ts';
import type {CommandOutcome} from './tree/command-outcome.ts';

/** Shortest time between two rounds of proposals, in milliseconds. */
const proposeEveryMs = 500;

type LeaderTasksOptions = {
	readonly self: NodeId;
	readonly consensus: Consensus<CommandOutcome>;
	/** Returns the keeper sets that should replace the current ones. */
	readonly planKeepers: (now: Millis) => readonly KeeperSet[];
};

/** Tasks of the replicated log's leader besides settings changes: commits a `lead` command in its term and replaces lost keepers. */
export class LeaderTasks {
	readonly #options: LeaderTasksOptions;
	#fencing: number | undefined;
	#proposedAt = Number.NEGATIVE_INFINITY;

	constructor(options: LeaderTasksOptions) {
		this.#options = options;
	}

	tick(now: Millis): void {
		const {consensus, planKeepers, self} = this.#options;
		if (!consensus.leads(now)) {
			this.#fencing = undefined;
			return;
		}

		if (now - this.#proposedAt < proposeEveryMs) {
			return;
		}

		this.#proposedAt = now;
		if (this.#fencing === undefined) {
			consensus.propose({type: 'lead', nodeId: self}, now);
		}

		for (const set of planKeepers(now)) {
			consensus.propose({type: 'keepers', set}, now);
		}
	}

	/** Handles committed commands: the index of this leader's own `lead` command is its fencing number. */
	committed(entries: ReadonlyArray<{index: number; command: LogCommand}>): void {
		for (const {index, command} of entries) {
			if (command.type === 'lead') {
				this.#fencing = command.nodeId === this.#options.self ? index : undefined;
			}
		}
	}

	/** Fencing number and lease under which this node may give orders; undefined unless it leads with a valid lease and its `lead` command is committed. */
	fencedLease(now: Millis): {fencing: number; leaseUntil: Millis} | undefined {
		const leaseUntil = this.#options.consensus.leaseUntil(now);
		return this.#fencing === undefined || leaseUntil === undefined ? undefined : {fencing: this.#fencing, leaseUntil};
	}
}
