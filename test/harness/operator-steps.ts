import {setTimeout as delay} from 'node:timers/promises';
import type {RunState} from './run-state.ts';
import type {StepValues} from './step-values.ts';

type Outcome = {readonly type?: string; readonly revision?: number; readonly winner?: string; readonly result?: string};

const pollMs = 100;
const maxTries = 20;

/** Runs the steps of a scenario that change the settings tree. */
export class OperatorSteps {
	readonly #state: RunState;
	readonly #resolveNodes: (names: readonly string[]) => string[];
	#changeCount = 0;
	/** Highest revision of an accepted change; the revision in the status of a node may lag behind it. */
	#acceptedRevision = 0;

	constructor(state: RunState, resolveNodes: (names: readonly string[]) => string[]) {
		this.#state = state;
		this.#resolveNodes = resolveNodes;
	}

	/** Submits one change and, if it is accepted, waits until it is in force at the nodes of the step. */
	async change(step: StepValues['change']): Promise<void> {
		this.#changeCount += 1;
		const number = step.number ?? await this.#nextNumber(step.at);
		const submitted = Date.now();
		const outcome = await this.#submit(step.at, {changeId: step.changeId ?? `change-${this.#changeCount}`, number, operations: step.operations}, step.expect);
		if (outcome.type !== step.expect) {
			this.#state.problems.push(`change ${this.#changeCount} at ${step.at}: ${JSON.stringify(outcome)} instead of ${step.expect}`);
			return;
		}

		if (outcome.type !== 'accepted') {
			return;
		}

		if (step.narrows) {
			this.#state.narrowings.push({revision: outcome.revision!, ...step.narrows});
		}

		await this.#waitUntilInForce(outcome.revision!, step.inForce, submitted + step.withinMs);
	}

	/** Submits different changes with the same number concurrently: exactly one must be accepted, and retries must return the same outcomes. */
	async race(step: StepValues['race']): Promise<void> {
		this.#changeCount += 1;
		const number = await this.#nextNumber(step.at[0]!);
		const changes = step.at.map((at, index) => ({
			at,
			change: {
				changeId: `race-${this.#changeCount}-${index}`, number, operations: [{
					op: 'set', path: step.path, key: step.key, value: step.values[index % step.values.length],
				}],
			},
		}));
		const first = await Promise.all(changes.map(async ({at, change}) => this.#submit(at, change)));
		const retried = await Promise.all(changes.map(async ({change}, index) => this.#submit(changes[(index + 1) % changes.length]!.at, change)));
		const winners = first.filter(({type}) => type === 'accepted');
		const losers = first.filter(({type}) => type === 'number-taken');
		if (winners.length !== 1 || losers.length !== changes.length - 1) {
			this.#state.problems.push(`race for number ${number}: ${JSON.stringify(first)}`);
		}

		if (first.some(({type}, index) => retried[index]!.type !== type)) {
			this.#state.problems.push(`race for number ${number}: retries returned ${JSON.stringify(retried)} instead of ${JSON.stringify(first)}`);
		}
	}

	/** Submits many changes sequentially and retries each 50th, which must return the same revision. */
	async changeRepeatedly(step: StepValues['changes']): Promise<void> {
		for (let index = 0; index < step.count; index++) {
			const number = await this.#nextNumber(step.at); // eslint-disable-line no-await-in-loop
			const change = {
				changeId: `many-${number}`, number, operations: [{
					op: 'set', path: step.path, key: step.key, value: 1000 + index,
				}],
			};
			const first = await this.#submit(step.at, change); // eslint-disable-line no-await-in-loop
			const retried = index % 50 === 0 ? await this.#submit(step.at, change) : first; // eslint-disable-line no-await-in-loop
			if (first.type !== 'accepted' || retried.revision !== first.revision) {
				this.#state.problems.push(`change ${number}: ${JSON.stringify(first)}, retried ${JSON.stringify(retried)}`);
				return;
			}
		}
	}

	/** Submits a change and retries it after a lost answer or while there is no quorum. */
	async #submit(at: string, change: Record<string, unknown>, expected = 'accepted'): Promise<Outcome> {
		let last: Outcome = {};
		for (let attempt = 0; attempt < maxTries; attempt++) {
			try {
				const {body} = await this.#state.launcher.change(at, change); // eslint-disable-line no-await-in-loop
				last = body;
				this.#acceptedRevision = Math.max(this.#acceptedRevision, last.type === 'accepted' ? last.revision! : 0);
			} catch (error) {
				last = {type: (error as Error).message};
			}

			if ([expected, 'accepted', 'number-taken', 'id-reused', 'invalid'].includes(last.type ?? '')) {
				return last;
			}

			await delay(pollMs); // eslint-disable-line no-await-in-loop
		}

		return last;
	}

	async #nextNumber(at: string): Promise<number> {
		const status = await this.#state.launcher.get(at, '/v1/status') as {revision: number} | undefined;
		return Math.max(status?.revision ?? 0, this.#acceptedRevision) + 1;
	}

	async #waitUntilInForce(revision: number, names: readonly string[], end: number): Promise<void> {
		const nodes = this.#resolveNodes(names);
		const behind = () => nodes.filter(node => this.#state.monitor.latestRevision(node) < revision);
		while (behind().length > 0 && Date.now() < end) {
			await delay(pollMs); // eslint-disable-line no-await-in-loop
		}

		if (behind().length > 0) {
			this.#state.problems.push(`revision ${revision} is not in force in time at ${behind().join(', ')}`);
		}
	}
}
