import type {LogCommand} from '../consensus/log-command.ts';
import type {StateMachine} from '../consensus/state-machine.ts';
import {RoutesState} from '../routes/routes-state.ts';
import type {Change} from './change.ts';
import {changeDigest} from './change-digest.ts';
import {ChangeOutcomeStore} from './change-outcome-store.ts';
import type {ChangeOutcome} from './change-outcome.ts';
import type {CommandOutcome} from './command-outcome.ts';
import {KeeperSets} from './keeper-sets.ts';
import {validateChangeShape} from './validate-change-shape.ts';
import type {SystemSnapshot} from './system-snapshot.ts';
import type {TreeProblem} from './tree-problem.ts';
import {TreeState} from './tree-state.ts';
import type {WeightBudget} from './weight-budget.ts';

/** Largest number of problems that one answer lists. */
const maxProblems = 200;

/** State machine of the replicated log: settings tree, routes, keeper sets, the leader's fencing number and weight budgets. */
export class SystemState implements StateMachine<CommandOutcome> {
	readonly tree = new TreeState();
	readonly keepers = new KeeperSets();
	readonly routes = new RoutesState();
	readonly #outcomes = new ChangeOutcomeStore();
	#lead: SystemSnapshot['lead'];
	#budgets = new Map<string, WeightBudget>();

	/** The newest committed `lead` command with its fencing number. */
	get lead(): SystemSnapshot['lead'] {
		return this.#lead;
	}

	weightBudget(deployment: string): WeightBudget | undefined {
		return this.#budgets.get(deployment);
	}

	/** The recorded outcome of a change, which it gets again when it is resent; undefined if the change is not known. */
	knownOutcome(change: Change): ChangeOutcome | undefined {
		return this.#outcomes.findOutcome(change.changeId, changeDigest(change));
	}

	apply(index: number, command: LogCommand): CommandOutcome {
		switch (command.type) {
			case 'change': {
				return this.#applyChange(command.change);
			}

			case 'document':
			case 'evacuation':
			case 'crashes':
			case 'traits-served':
			case 'trial':
			case 'crashes-withdrawn': {
				return this.routes.apply(index, command);
			}

			case 'keepers': {
				return {type: 'keepers', installed: this.keepers.installNext(command.set)};
			}

			case 'lead': {
				this.#lead = {nodeId: command.nodeId, fencing: index};
				return {type: 'lead', fencing: index};
			}

			case 'weight-budget': {
				const {deployment, bytes, at} = command;
				this.#budgets.set(deployment, {deployment, bytes, at});
				return {type: 'weight-budget'};
			}
		}
	}

	snapshot(): SystemSnapshot {
		return {
			tree: this.tree.snapshot(),
			remembered: this.#outcomes.snapshot(),
			keepers: this.keepers.all(),
			lead: this.#lead,
			budgets: [...this.#budgets.values()],
			routes: this.routes.snapshot(),
		};
	}

	restore(snapshot: unknown): void {
		const {tree, remembered, keepers, lead, budgets, routes} = snapshot as SystemSnapshot;
		this.tree.restore(tree);
		this.#outcomes.restore(remembered);
		this.keepers.restore(keepers);
		this.#lead = lead;
		this.routes.restore(routes ?? {index: 0, evacuations: []});
		this.#budgets = new Map(budgets.map(budget => [budget.deployment, budget]));
	}

	#applyChange(change: Change): ChangeOutcome {
		const malformed = validateChangeShape(change);
		if (malformed.length > 0) {
			return {type: 'invalid', problems: limitProblems(malformed)};
		}

		const digest = changeDigest(change);
		const known = this.#outcomes.findOutcome(change.changeId, digest);
		if (known !== undefined) {
			return known;
		}

		const outcome = this.#decide(change);
		this.#outcomes.record(change.changeId, digest, outcome);
		return outcome;
	}

	#decide(change: Change): ChangeOutcome {
		const {revision} = this.tree;
		if (change.number !== revision + 1) {
			const winner = this.#winnerOf(change.number);
			return winner === undefined ? {type: 'number-taken', revision} : {type: 'number-taken', winner, revision};
		}

		const problems = this.tree.apply(change);
		if (problems.length > 0) {
			return {type: 'invalid', problems: limitProblems(problems)};
		}

		return {type: 'accepted', revision: change.number};
	}

	#winnerOf(revision: number): Change['changeId'] | undefined {
		return this.tree.acceptedChange(revision)?.changeId ?? this.#outcomes.findAccepted(revision);
	}
}

function limitProblems(problems: readonly TreeProblem[]): readonly TreeProblem[] {
	if (problems.length <= maxProblems) {
		return problems;
	}

	const rest = problems.length - maxProblems;
	const last = {path: '', problem: `${rest} more problems are not listed`, remedy: 'Mend those listed and send the change under a new id.'};
	return [...problems.slice(0, maxProblems), last];
}
