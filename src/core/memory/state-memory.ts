import {StateBudget} from './state-budget.ts';
import type {StateKind} from './state-kind.ts';

/** Memory that all kinds together may take by default, in bytes. */
const defaultMaxBytes = 50_331_648;

/** Share of each kind; a new kind needs one. */
const shares: Readonly<Record<StateKind, number>> = {
	'prompt-parts': 0.25,
	'stream-origins': 0.4,
	'served-traits': 0.05,
	refusals: 0.1,
	targets: 0.2,
};

/**
 * Owner of the state that outlives a request and whose keys clients choose, counted in bytes.
 *
 * Load pattern: clients send ids and parts of prompts that are as long as a head may be, each of them new. Bounds on the
 * number, the age or the tokens of what is remembered then don't bound its memory.
 */
export class StateMemory {
	static readonly kinds = Object.keys(shares) as readonly StateKind[];

	readonly #budgets: Readonly<Record<StateKind, StateBudget>>;

	/** @param maxBytes - Memory that all kinds together may take, in bytes. */
	constructor(maxBytes: number = defaultMaxBytes) {
		const budgets = StateMemory.kinds.map(kind => [kind, new StateBudget(maxBytes * shares[kind])]);
		this.#budgets = Object.fromEntries(budgets) as Record<StateKind, StateBudget>;
	}

	budget(kind: StateKind): StateBudget {
		return this.#budgets[kind];
	}
}
