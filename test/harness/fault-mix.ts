import type {Random} from '../../src/core/common/random.ts';
import type {InstallationSpec} from './installation-spec.ts';
import type {Step} from './step.ts';

type Fault = {readonly name: string; readonly begin: Step; readonly end?: Step};

/** Draws the faults of a run from its seeded random source: their kinds, processes and order. */
export class FaultMix {
	readonly #spec: InstallationSpec;
	readonly #random: Random;

	constructor(spec: InstallationSpec, random: Random) {
		this.#spec = spec;
		this.#random = random;
	}

	pickFaults(least: number, most: number): Fault[] {
		const count = least + Math.floor(this.#random.next() * (most - least + 1));
		return Array.from({length: count}, () => this.#pickFault());
	}

	#pickFault(): Fault {
		const {node} = this.#pickItem(this.#spec.nodes);
		const target = this.#pickItem(this.#spec.targets).id;
		const {region} = this.#pickItem(this.#spec.nodes);
		const other = this.#pickItem(this.#spec.nodes.filter(candidate => candidate.region !== region)).region;
		const link = {from: [region], to: [other]};
		return this.#pickItem<Fault>([
			{name: `isolate ${region}`, begin: {cut: {from: [region], to: ['others'], direction: 'both'}}, end: {heal: {}}},
			{name: `cut ${region} to ${other} one way`, begin: {cut: {...link, direction: 'one-way'}}, end: {heal: {}}},
			{name: `slow link ${region} to ${other}`, begin: {limit: {...link, direction: 'both', bytesPerSecond: 20_000}}, end: {heal: {}}},
			{name: `half-open links ${region} to ${other}`, begin: {'half-open': {...link, direction: 'both'}}},
			{name: `reset links ${region} to ${other}`, begin: {reset: {...link, direction: 'both'}}},
			{name: `kill ${node}`, begin: {kill: {process: [node]}}, end: {start: {process: [node]}}},
			{name: `freeze ${node}`, begin: {freeze: {process: [node]}}, end: {thaw: {process: [node]}}},
			{name: `lose the disk of ${node}`, begin: {'lose-disk': {process: [node]}}},
			{name: `restart ${node}`, begin: {restart: {process: [node]}}},
			{name: `kill ${target}`, begin: {kill: {process: [target]}}, end: {start: {process: [target]}}},
			{name: `freeze ${target}`, begin: {freeze: {process: [target]}}, end: {thaw: {process: [target]}}},
			{name: `answers of ${target} lost`, begin: {cut: {from: [target], to: ['entries'], direction: 'one-way'}}, end: {heal: {}}},
		]);
	}

	#pickItem<Item>(items: readonly Item[]): Item {
		return items[Math.floor(this.#random.next() * items.length)]!;
	}
}
