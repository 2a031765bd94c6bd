import type {ExecutionContext} from 'ava';
import type {Change} from '../../../src/core/tree/change.ts';
import type {ChangeOutcome} from '../../../src/core/tree/change-outcome.ts';
import type {SimCluster} from '../../fixtures/sim-cluster.ts';
import type {SimProcess} from '../../fixtures/sim-process.ts';

/** Checks the safety properties of the replicated log and the settings on a simulated cluster. */
export class ClusterChecker {
	readonly submitted = new Map<string, Change>();
	readonly #outcomes = new Map<string, ChangeOutcome>();
	readonly #commands = new Map<number, string>();
	readonly #seen = new WeakMap<SimProcess, {applied: number; revision: number}>();
	readonly #t: ExecutionContext;
	readonly #cluster: SimCluster;

	constructor(t: ExecutionContext, cluster: SimCluster) {
		this.#t = t;
		this.#cluster = cluster;
	}

	/** Checks the properties that must hold at any time. */
	check(): void {
		let leaders = 0;
		for (const node of this.#cluster.nodes.values()) {
			if (node.process !== undefined) {
				this.#checkProcess(node.process);
				leaders += node.process.member?.leads(this.#cluster.clock(node)) ? 1 : 0;
			}
		}

		this.#assert(leaders <= 1, 'two members lead at the same time');
	}

	/** Checks, once all faults are repaired, that every control node still gives each answer. */
	checkAnswers(): void {
		for (const [changeId, outcome] of this.#outcomes) {
			for (const nodeId of this.#cluster.controlIds) {
				const {state} = this.#cluster.process(nodeId);
				const again = state.knownOutcome(this.submitted.get(changeId)!);
				this.#assert(JSON.stringify(again) === JSON.stringify(outcome), `${changeId} was answered ${JSON.stringify(outcome)}, ${nodeId} says ${JSON.stringify(again)}`);
			}
		}
	}

	get answers(): number {
		return this.#outcomes.size;
	}

	#checkProcess(process: SimProcess): void {
		const seen = this.#seen.get(process) ?? {applied: 0, revision: 0};
		const {revision} = process.service.tree;
		this.#assert(revision >= seen.revision, 'a revision decreased');
		for (const {index, command} of process.committed.slice(seen.applied)) {
			const text = JSON.stringify(command);
			const known = this.#commands.get(index) ?? text;
			this.#assert(known === text, `index ${index} holds ${known} and ${text}`);
			this.#commands.set(index, text);
		}

		this.#seen.set(process, {applied: process.committed.length, revision});
		this.#recordOutcomes(process);
	}

	#recordOutcomes(process: SimProcess): void {
		for (const {changeId, outcome} of process.service.takeOutcomes()) {
			if (outcome.type === 'no-quorum') {
				continue;
			}

			const known = this.#outcomes.get(changeId) ?? outcome;
			this.#assert(JSON.stringify(known) === JSON.stringify(outcome), `${changeId} got two different answers`);
			this.#outcomes.set(changeId, outcome);
		}
	}

	#assert(holds: boolean, problem: string): void {
		if (!holds) {
			this.#t.log(problem);
			throw new Error(problem);
		}
	}
}
