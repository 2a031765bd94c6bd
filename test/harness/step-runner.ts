import {
	readdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import type {Random} from '../../src/core/common/random.ts';
import {damagedStart} from './damaged-start.ts';
import type {FaultProxy} from './fault-proxy.ts';
import {FaultMix} from './fault-mix.ts';
import {LoadGenerator} from './load-generator.ts';
import {OperatorSteps} from './operator-steps.ts';
import type {RunState} from './run-state.ts';
import type {Step} from './step.ts';
import type {StepValues} from './step-values.ts';

type LinkStep = 'cut' | 'delay' | 'limit' | 'half-open' | 'reset';
type Direction = 'forward' | 'backward' | 'both';

const stepSignals = {
	freeze: 'SIGSTOP', thaw: 'SIGCONT', drain: 'SIGTERM', leave: 'SIGTERM',
} as const;
type LinkSelector = {readonly from: readonly string[]; readonly to: readonly string[]; readonly direction: 'both' | 'one-way'; readonly of?: 'callers' | 'peers'};
type ActionName = Exclude<keyof StepValues, LinkStep | keyof typeof stepSignals>;

const linkActions: {[Name in LinkStep]: (proxy: FaultProxy, direction: Direction, value: StepValues[Name]) => void} = {
	cut(proxy, direction) {
		proxy.cut(direction);
	},
	delay(proxy, direction, {ms}) {
		proxy.delay(ms, direction);
	},
	limit(proxy, direction, {bytesPerSecond}) {
		proxy.limit(bytesPerSecond, direction);
	},
	'half-open'(proxy) {
		proxy.halfOpen();
	},
	reset(proxy) {
		proxy.reset();
	},
};

/** Executes the steps of a scenario on an installation. */
export class StepRunner {
	readonly #state: RunState;
	readonly #random: Random;
	readonly #loads = new Map<string, Promise<unknown>>();
	readonly #operator: OperatorSteps;

	readonly #actions: {[Name in ActionName]: (value: StepValues[Name]) => Promise<void> | void} = {
		load: load => {
			this.#startLoad(load);
		},
		join: async ({load}) => this.waitForLoads(load),
		wait: async milliseconds => delay(milliseconds),
		heal: () => {
			for (const proxy of this.#state.launcher.links.all()) {
				proxy.heal();
			}
		},
		kill: async step => this.#eachProcess(step, async id => this.#process(id).end('SIGKILL')),
		start: async step => this.#eachProcess(step, async id => this.#start(id)),
		restart: async step => this.#eachProcess(step, async id => this.#restart(id)),
		'lose-disk': async step => this.#eachProcess(step, async id => this.#loseDisk(id)),
		'damage-disk': async step => this.#eachProcess(step, async id => this.#damageDisk(id)),
		'crash-on': async step => this.#eachProcess(step, async id => this.#crashOn(id, step.text)),
		change: async step => this.#operator.change(step),
		race: async step => this.#operator.race(step),
		changes: async step => this.#operator.changeRepeatedly(step),
		mix: async step => this.#runFaultMix(step),
	};

	constructor(state: RunState, random: Random) {
		this.#state = state;
		this.#random = random;
		this.#operator = new OperatorSteps(state, names => this.#resolveNodes(names));
	}

	async run(steps: readonly Step[]): Promise<void> {
		for (const step of steps) {
			await this.#runStep(step); // eslint-disable-line no-await-in-loop
		}
	}

	/** Waits until the loads with these names, or `all`, have finished. */
	async waitForLoads(names: readonly string[]): Promise<void> {
		const wanted = names.includes('all') ? [...this.#loads.keys()] : names;
		await Promise.all(wanted.map(async name => this.#loads.get(name)));
	}

	async #runStep(step: Step): Promise<void> {
		const [name, value] = Object.entries(step)[0]! as [keyof StepValues, never];
		if (name in linkActions) {
			const act = linkActions[name as LinkStep] as (proxy: FaultProxy, direction: Direction, value: never) => void;
			this.#eachLink(value, (proxy, direction) => {
				act(proxy, direction, value);
			});
			return;
		}

		if (name in stepSignals) {
			await this.#eachProcess(value, async id => {
				this.#process(id).signal(stepSignals[name as keyof typeof stepSignals]);
			});
			return;
		}

		await (this.#actions[name as ActionName] as (value: never) => Promise<void> | void)(value);
	}

	#startLoad(load: StepValues['load']): void {
		const {launcher, records} = this.#state;
		const {nodes, targets} = launcher.spec;
		const regions = [...new Set(nodes.map(node => node.region))].filter(region => load.regions.includes('all') || load.regions.includes(region));
		const services = {engine: targets.find(({kind}) => kind === 'engine')?.service ?? '', call: targets.find(({kind}) => kind === 'service')?.service ?? ''};
		this.#loads.set(load.name, Promise.all(regions.map(async region => new LoadGenerator({
			load,
			region,
			services,
			directory: nodes.filter(node => node.region === region).map(({node}) => node),
			addressOf: node => launcher.address(node),
			record(record) {
				records.push(record);
			},
		}).run())));
	}

	#process(id: string) {
		return this.#state.launcher.processes.get(id)!;
	}

	async #eachProcess({process}: {readonly process: readonly string[]}, action: (id: string) => Promise<void>): Promise<void> {
		await Promise.all([...this.#resolveNames(process)].map(async id => action(id)));
	}

	async #start(id: string): Promise<void> {
		if (this.#process(id).up) {
			return;
		}

		this.#process(id).start();
		if (this.#resolveNodes([id]).length > 0) {
			await this.#state.launcher.waitUntilReady(id);
		}
	}

	async #restart(id: string): Promise<void> {
		await this.#process(id).end('SIGTERM');
		if (this.#process(id).exitCode !== 0) {
			this.#state.problems.push(`${id} ended with ${this.#process(id).exitCode} on a graceful shutdown`);
		}

		await this.#start(id);
	}

	async #loseDisk(id: string): Promise<void> {
		await this.#process(id).end('SIGKILL');
		rmSync(this.#state.launcher.dataFolder(id), {recursive: true, force: true});
		await this.#start(id);
	}

	/** Overwrites 8 bytes a third of the way into the largest file of the data folder; the process must then refuse to run. */
	async #damageDisk(id: string): Promise<void> {
		await this.#process(id).end('SIGKILL');
		const folder = this.#state.launcher.dataFolder(id);
		const files = readdirSync(folder, {recursive: true, withFileTypes: true}).filter(entry => entry.isFile());
		const contents = files.map(entry => path.join(entry.parentPath, entry.name)).map(file => ({file, bytes: readFileSync(file)}));
		const [largest] = contents.sort((a, b) => b.bytes.length - a.bytes.length);
		largest!.bytes.fill(0x5A, Math.floor(largest!.bytes.length / 3), Math.floor(largest!.bytes.length / 3) + 8);
		writeFileSync(largest!.file, largest!.bytes);
		const problem = await damagedStart({managed: this.#process(id), settingsFile: this.#state.launcher.settingsFile(id), addresses: this.#state.launcher.listening(id)});
		if (problem !== undefined) {
			this.#state.problems.push(`${id} ${problem}`);
			await this.#process(id).end('SIGKILL');
		}
	}

	async #crashOn(id: string, text: string): Promise<void> {
		const [link] = this.#state.launcher.links.between(new Set(['entries']), new Set([id]));
		if (!link) {
			return;
		}

		const response = await request(`http://127.0.0.1:${link.targetPort}/test/crash-on`, {method: 'PUT', body: text});
		await response.body.dump();
	}

	/** Begins each drawn fault at a random time within `holdMs`, ends it `holdMs` later, and finally heals all links and restarts all processes. */
	async #runFaultMix({faults: [least, most], holdMs}: StepValues['mix']): Promise<void> {
		const {launcher, notes} = this.#state;
		const picked = new FaultMix(launcher.spec, this.#random).pickFaults(least, most);
		const starts = picked.map(() => this.#random.next() * holdMs);
		notes.push(picked.map(({name}, index) => `${Math.round(starts[index]!)} ms: ${name}`).join(', '));
		await Promise.all(picked.map(async (fault, index) => {
			await delay(starts[index]);
			await this.#runStep(fault.begin);
			await delay(holdMs);
			if (fault.end) {
				await this.#runStep(fault.end);
			}
		}));
		await this.run([{heal: {}}, {thaw: {process: ['all']}}, {start: {process: ['all']}}]);
	}

	/** Applies an action to the links between `from` and `to`, whichever side opened them; with `one-way` only for the bytes that `from` sends. */
	#eachLink({from, to, direction, of}: LinkSelector, action: (proxy: FaultProxy, direction: Direction) => void): void {
		const senders = this.#resolveNames(from);
		const receivers = this.#resolveNames(to, senders);
		const {links} = this.#state.launcher;
		for (const proxy of links.between(senders, receivers, of)) {
			action(proxy, direction === 'both' ? 'both' : 'forward');
		}

		for (const proxy of links.between(receivers, senders, of)) {
			action(proxy, direction === 'both' ? 'both' : 'backward');
		}
	}

	/** Resolves names to process ids: a process, a region with all its processes, `entries`, `all`, or `others` for all but the excluded ones. */
	#resolveNames(names: readonly string[], excluded: ReadonlySet<string> = new Set()): Set<string> {
		const {nodes, targets} = this.#state.launcher.spec;
		const processes = [...nodes.map(({node, region}) => ({id: node, region})), ...targets.map(({id, region}) => ({id, region}))];
		const found = processes.filter(({id, region}) => names.includes('all') || names.includes(id) || names.includes(region)
			|| (names.includes('others') && !excluded.has(id)));
		return new Set([...found.map(({id}) => id), ...(names.includes('entries') ? ['entries'] : [])]);
	}

	#resolveNodes(names: readonly string[]): string[] {
		const found = this.#resolveNames(names);
		return this.#state.launcher.spec.nodes.map(({node}) => node).filter(node => found.has(node));
	}
}
