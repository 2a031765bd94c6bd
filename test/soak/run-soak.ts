import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '../../src/core/common/seeded-random.ts';
import {describeMachine} from '../harness/describe-machine.ts';
import {checkProbes} from './check-probes.ts';
import {checkRecords} from './check-records.ts';
import {checkRetries} from './check-retries.ts';
import {SoakCallers} from './soak-callers.ts';
import {SoakDeployment} from './soak-deployment.ts';
import {SoakFaults} from './soak-faults.ts';
import {SoakOperator} from './soak-operator.ts';
import {SoakProbes} from './soak-probes.ts';
import type {SoakReport} from './soak-report.ts';

type SoakOptions = {
	readonly seed: number;
	/** Time after which no further round of faults begins, in minutes. */
	readonly minutes: number;
	/** @default 2 */
	readonly entriesPerRegion?: number;
	/** @default 40 */
	readonly requestsPerSecond?: number;
	/** Period without faults after each recovery, in milliseconds. @default 3000 */
	readonly faultFreeMs?: number;
};

/** Number of faults in a round, the period within which they begin, and the duration of each, in milliseconds. */
const faultsPerRound = {least: 2, most: 6};
const roundMs = 5000;
const holdMs = {least: 300, most: 5000};
/** Time within which requests must be served again after a round, and further time within which a change must then be accepted, in milliseconds; it equals the recovery time of the first deployments. */
const recoveryTimeoutMs = 15_000;
const defaultFaultFreeMs = 3000;
/** Minimum share of requests that must be served in the period without faults after a recovery. */
const minServedShare = 0.95;
const startTimeoutMs = 20_000;
const pollMs = 250;

/** Runs real processes under random faults and checks the results that callers, operators and targets observe. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
	const {seed, entriesPerRegion = 2} = options;
	const deployment = await SoakDeployment.create({entriesPerRegion, random: new SeededRandom(seed + 1)});
	const run = new SoakRun(deployment, options);
	try {
		await run.run();
		return run.report();
	} finally {
		await deployment.dispose({keepFolder: run.problems.length > 0});
	}
}

/** One run: rounds of overlapping faults, each followed by a recovery and a period without faults, both of which are checked. */
class SoakRun {
	readonly problems: string[] = [];
	readonly #options: SoakOptions;
	readonly #deployment: SoakDeployment;
	readonly #random: SeededRandom;
	readonly #callers: SoakCallers;
	readonly #operator: SoakOperator;
	readonly #probes: SoakProbes;
	readonly #faults: SoakFaults;
	readonly #injected: Array<SoakReport['faults'][number]> = [];
	readonly #requestsPerSecond: number;
	readonly #startedAt = performance.now();

	constructor(deployment: SoakDeployment, options: SoakOptions) {
		const {seed, requestsPerSecond = 40} = options;
		this.#options = options;
		this.#deployment = deployment;
		this.#requestsPerSecond = requestsPerSecond;
		this.#random = new SeededRandom(seed);
		this.#callers = new SoakCallers(deployment, {random: new SeededRandom(seed + 2), now: () => this.#now()});
		const now = () => this.#now();
		this.#operator = new SoakOperator(deployment, {random: new SeededRandom(seed + 3), furtherRandom: new SeededRandom(seed + 4), now});
		this.#probes = new SoakProbes({
			deployment, operator: this.#operator, random: new SeededRandom(seed + 5), now,
		});
		this.#faults = new SoakFaults(deployment, this.#random);
	}

	async run(): Promise<void> {
		await this.#deployment.start();
		if (!await this.#waitUntil(async () => this.#operator.change(), startTimeoutMs)) {
			this.problems.push('the deployment did not start');
		}

		this.#callers.start(this.#requestsPerSecond);
		this.#operator.start();
		this.#probes.start();
		await this.#checkRecovery();
		while (this.#now() < this.#options.minutes * 60_000 && this.problems.length === 0) {
			await this.#injectRound(); // eslint-disable-line no-await-in-loop
			await this.#checkRecovery(); // eslint-disable-line no-await-in-loop
		}

		this.#operator.stop();
		await Promise.all([this.#callers.finish(), this.#probes.finish()]);
		await this.#checkFinalState();
	}

	report(): SoakReport {
		return {
			seed: this.#options.seed,
			lengthMs: this.#now(),
			problems: this.problems,
			faults: this.#injected,
			records: this.#callers.records,
			probes: this.#probes.records,
			changes: this.#operator.changes,
			reads: this.#operator.reads,
			folder: this.#deployment.folder,
			machine: this.problems.length > 0 ? [describeMachine(this.#deployment.nodes.map(node => [node.name, node.process] as const))] : [],
		};
	}

	async #injectRound(): Promise<void> {
		const {least, most} = faultsPerRound;
		const count = least + Math.floor(this.#random.next() * (most - least + 1));
		await Promise.all(Array.from({length: count}, async () => this.#inject()));
	}

	async #inject(): Promise<void> {
		await sleep(this.#random.next() * roundMs);
		const at = this.#now();
		const fault = this.#faults.pick(at);
		for (const node of fault.nodes) {
			node.faults += 1;
		}

		await fault.begin();
		await sleep(holdMs.least + (this.#random.next() * (holdMs.most - holdMs.least)));
		await fault.end?.();
		for (const node of fault.nodes) {
			node.faults -= 1;
			node.lastFaultEndedAt = this.#now();
		}

		this.#injected.push({name: fault.name, at, forMs: this.#now() - at});
	}

	/** Waits until requests are served and a change is accepted again, then checks the share of served requests in a period without faults. */
	async #checkRecovery(): Promise<void> {
		const healedAt = Math.round(this.#now());
		const served = await this.#waitUntil(() => this.#servedSince(this.#now() - 1000) >= minServedShare, recoveryTimeoutMs);
		const changed = await this.#waitUntil(async () => this.#operator.change(), recoveryTimeoutMs);
		if (!served || !changed) {
			this.problems.push(`${served ? 'no change was accepted' : 'requests were not served again'} within ${recoveryTimeoutMs} ms after the faults that ended at ${healedAt} ms`);
			return;
		}

		const faultFreeFrom = this.#now();
		await sleep(this.#options.faultFreeMs ?? defaultFaultFreeMs);
		const share = this.#servedSince(faultFreeFrom);
		if (share < minServedShare) {
			this.problems.push(`only ${share.toFixed(3)} of the requests were served in the fault-free period from ${Math.round(faultFreeFrom)} ms on`);
		}
	}

	async #checkFinalState(): Promise<void> {
		for (const node of this.#deployment.control) {
			if (!await this.#operator.read(node)) { // eslint-disable-line no-await-in-loop
				this.problems.push(`${node.name} did not answer the read at the end`);
			}
		}

		const {records} = this.#callers;
		const calm = records.filter(({withoutRecentFault}) => withoutRecentFault);
		const servedShare = calm.filter(({outcome}) => outcome === 'served').length / Math.max(1, calm.length);
		this.problems.push(...this.#operator.problems, ...checkRecords(records, id => this.#deployment.runsOf(id)), ...checkProbes(this.#probes.records, servedShare), ...this.#checkRetries());
	}

	/** Checks what arrived at targets against the requests of callers, and the other requests at their first arrival: the route of a probe may have moved since it was sent. */
	#checkRetries(): string[] {
		const {arrivals} = this.#deployment;
		const calls = this.#callers.records.map(({kind, sentAt}) => ({service: kind === 'draft' ? 'writers' as const : 'desk' as const, at: sentAt + this.#startedAt}));
		const called = new Set(this.#callers.records.map(({id}) => id));
		const others = new Map(arrivals.filter(({key}) => !called.has(key)).toReversed().map(arrival => [arrival.key, arrival]));
		return checkRetries([...calls, ...others.values()], arrivals);
	}

	/** Share of the requests sent since a time, and finished by now, that were served; 0 if there are fewer than are usually sent in a quarter of a second. */
	#servedSince(since: number): number {
		const recent = this.#callers.records.filter(({sentAt}) => sentAt >= since);
		return recent.length < this.#requestsPerSecond / 4 ? 0 : recent.filter(({outcome}) => outcome === 'served').length / recent.length;
	}

	async #waitUntil(condition: () => Promise<boolean> | boolean, ms: number): Promise<boolean> {
		for (const end = this.#now() + ms; this.#now() < end;) {
			if (await condition()) { // eslint-disable-line no-await-in-loop
				return true;
			}

			await sleep(pollMs); // eslint-disable-line no-await-in-loop
		}

		return false;
	}

	#now(): number {
		return performance.now() - this.#startedAt;
	}
}
