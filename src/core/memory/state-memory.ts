import {StateBudget} from './state-budget.ts';
import type {StateKind} from './state-kind.ts';

/** Memory that all kinds together may take by default, in bytes. */
const defaultMaxBytes = 50_331_648;

/** Weight of each kind in the memory of a process that keeps it; a new kind needs one. */
const weights: Readonly<Record<StateKind, number>> = {
	'prompt-parts': 0.25,
	'stream-origins': 0.4,
	'served-traits': 0.05,
	targets: 0.2,
	claims: 0.8,
};

const allKinds = Object.keys(weights) as readonly StateKind[];

type StateMemoryOptions = {
	/** Memory that all kinds together may take, in bytes. @default 50_331_648 */
	readonly maxBytes?: number;
	/** Kinds that the process keeps. @default all */
	readonly kinds?: readonly StateKind[];
};

/**
 * Owner of the state that outlives a request and whose keys clients choose, counted in bytes.
 *
 * Load pattern: clients send ids and parts of prompts that are as long as a head may be, each of them new. Bounds on the
 * number, the age or the tokens of what is remembered then don't bound its memory.
 */
export class StateMemory {
	/** Kinds that the process keeps. */
	readonly kinds: readonly StateKind[];
	readonly #budgets: ReadonlyMap<StateKind, StateBudget>;

	constructor({maxBytes = defaultMaxBytes, kinds = allKinds}: StateMemoryOptions = {}) {
		this.kinds = kinds;
		const total = kinds.reduce((sum, kind) => sum + weights[kind], 0);
		this.#budgets = new Map(kinds.map(kind => [kind, new StateBudget(maxBytes * weights[kind] / total)]));
	}

	/** @throws Error if the process was not meant to keep state of this kind. */
	budget(kind: StateKind): StateBudget {
		const budget = this.#budgets.get(kind);
		if (budget === undefined) {
			throw new Error(`this process has no memory for state of the kind ${kind}: name it where its StateMemory is created`);
		}

		return budget;
	}
}
