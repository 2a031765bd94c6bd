import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '../../src/core/common/seeded-random.ts';
import {describeMachine} from '../harness/describe-machine.ts';
import {ChangingIds} from './changing-ids.ts';
import {checkProbes} from './check-probes.ts';
import {checkRecords} from './check-records.ts';
import {checkRetries} from './check-retries.ts';
import {checkSoakOverlaps} from './check-soak-overlaps.ts';
import {LostDisks} from './lost-disks.ts';
import {RefusalManners} from './refusal-manners.ts';
import {SoakCallers} from './soak-callers.ts';
import {SoakDeployment} from './soak-deployment.ts';
import {SoakFaults} from './soak-faults.ts';
import {SoakOperator} from './soak-operator.ts';
import {SoakProbes} from './soak-probes.ts';
import type {SoakReport} from './soak-report.ts';
import {StreamManners} from './stream-manners.ts';

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
	/** True to draw no faults but replacements of control nodes and losses of power. @default false */
	readonly replacementsOnly?: boolean;
	/** True to draw faults of single links between entries, and from entries to targets, as well. @default false */
	readonly links?: boolean;
	/** True if all targets of a service are in one region. @default false */
	readonly forwarded?: boolean;
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
const loopProbe = new URL('../harness/loop-probe.js', import.meta.url).href;
const nodesPollMs = 100;
/** Time for which requests and probes go on after the final fault and the recovery from it, in milliseconds: longer than the stability window and the time within which a version must be in force. */
const finalCalmMs = 10_000;
/** Time without a fault after which a node counts as in touch, in milliseconds; it equals the stability window of the first deployments. */
const stabilityWindowMs = 6000;
/** Number of events in a stream, pauses of a stream, on average, and the length of a pause, in milliseconds: about the stall timeout of the route and longer. */
const streamEvents = 6;
const pausesPerStream = 0.15;
const pauseMs = {least: 800, most: 4000};
/** Range of the pauses of streams that no other target may take up, in milliseconds: shorter than the stall timeout. */
const notePauseMs = {least: 800, most: 1400};
/** Share of the requests that targets refuse, without faults and in a round of faults. */
const refusedShare = {calm: 0.02, round: 0.15};

/** Runs real processes under random faults and checks the results that callers, operators and targets observe. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
	const {seed, entriesPerRegion = 2, links = false, forwarded = false} = options;
	const deployment = await SoakDeployment.create({
		entriesPerRegion, random: new SeededRandom(seed + 1), forwarded, targetLinks: links,
	});
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
	readonly #refusals: RefusalManners;
	readonly #changingIds: ChangingIds;
	readonly #faults: SoakFaults;
	readonly #lostDisks: LostDisks;
	/** True once the power has been taken in the second half of the run. */
	#powerLost = false;
	/** Times in which faults affected nodes or targets, since the start of the run. */
	readonly #faultSpans: Array<{readonly names: ReadonlySet<string>; readonly from: number; to: number}> = [];
	#overlaps: SoakReport['overlaps'];
	readonly #injected: Array<SoakReport['faults'][number]> = [];
	readonly #requestsPerSecond: number;
	readonly #startedAt = performance.now();

	constructor(deployment: SoakDeployment, options: SoakOptions) {
		const {seed, requestsPerSecond = 40} = options;
		this.#options = options;
		this.#deployment = deployment;
		this.#requestsPerSecond = requestsPerSecond;
		this.#random = new SeededRandom(seed);
		this.#callers = new SoakCallers(deployment, {random: new SeededRandom(seed + 2), refusedRandom: new SeededRandom(seed + 8), now: () => this.#now()});
		const now = () => this.#now();
		this.#operator = new SoakOperator(deployment, {random: new SeededRandom(seed + 3), furtherRandom: new SeededRandom(seed + 4), now});
		this.#probes = new SoakProbes({
			deployment, operator: this.#operator, random: new SeededRandom(seed + 5), now,
		});
		this.#refusals = new RefusalManners(new SeededRandom(seed + 7));
		this.#changingIds = new ChangingIds(deployment, new SeededRandom(seed + 9));
		this.#lostDisks = new LostDisks(deployment, now);
		this.#faults = new SoakFaults(deployment, {
			random: this.#random,
			lostDisks: this.#lostDisks,
			links: options.links ?? false,
			now,
			log: name => {
				this.#injected.push({name, at: this.#now(), forMs: 0});
			},
		});
	}

	async run(): Promise<void> {
		// The callers' times are those of this process, so that its delays are listed like those of the nodes.
		process.env.LOOP_PROBE_FILE = path.join(this.#deployment.folder, 'soak.log.late');
		await import(loopProbe);
		this.#prepareTargets();
		await this.#deployment.start();
		const timer = setInterval(() => {
			for (const node of this.#deployment.nodes) {
				node.noteLoaded(this.#now());
			}

			this.#lostDisks.update();
		}, nodesPollMs);
		await this.#waitUntilLoaded();
		if (!await this.#waitUntil(async () => this.#operator.change(), startTimeoutMs)) {
			this.problems.push('the deployment did not start');
		}

		this.#callers.start(this.#requestsPerSecond);
		this.#operator.start();
		this.#probes.start();
		this.#changingIds.start();
		await this.#checkRecovery();
		const endsAt = this.#options.minutes * 60_000;
		while (this.#now() < endsAt && this.problems.length === 0) {
			await this.#injectRound(this.#now() > endsAt / 2); // eslint-disable-line no-await-in-loop
			await this.#checkRecovery(); // eslint-disable-line no-await-in-loop
		}

		if (this.problems.length === 0) {
			await this.#injectFinalFault();
		}

		clearInterval(timer);
		this.#changingIds.stop();
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
			refusals: this.#deployment.refusals,
			overlaps: this.#overlaps,
			probes: this.#probes.records,
			changes: this.#operator.changes,
			reads: this.#operator.reads,
			folder: this.#deployment.folder,
			loadMs: Math.max(0, ...this.#deployment.nodes.map(({longestLoadMs}) => longestLoadMs)),
			machine: this.problems.length > 0 ? [describeMachine([...this.#deployment.removedNodes, ...this.#deployment.nodes].map(node => [node.name, node.process] as const))] : [],
		};
	}

	/** Lets all targets refuse requests, and those of streams write them late and with pauses. */
	#prepareTargets(): void {
		const random = new SeededRandom(this.#options.seed + 6);
		const manners = new StreamManners({
			random, eventCount: streamEvents, pausesPerStream, pauseMs(path) {
				const {least, most} = path.startsWith('/notes/') ? notePauseMs : pauseMs;
				return least + (random.next() * (most - least));
			},
		});
		this.#refusals.share = refusedShare.calm;
		for (const {engine} of this.#deployment.engines) {
			this.#refusals.apply(engine);
		}

		for (const {engine} of this.#deployment.engines.filter(({service}) => service === 'writers')) {
			manners.apply(engine);
		}
	}

	/** Takes the power from all processes, and up to two disks, right after an acknowledged change. */
	async #injectFinalFault(): Promise<void> {
		await this.#waitUntil(async () => this.#operator.change(), recoveryTimeoutMs);
		await this.#play(this.#faults.losePower());
		await this.#checkRecovery();
		await sleep(finalCalmMs);
	}

	/** @param late - True in the second half of the run, which ends with a loss of power right after the other faults. */
	async #injectRound(late: boolean): Promise<void> {
		const {least, most} = faultsPerRound;
		const count = least + Math.floor(this.#random.next() * (most - least + 1));
		const losesPower = late && !this.#powerLost;
		this.#powerLost ||= losesPower;
		this.#refusals.share = refusedShare.round;
		await Promise.all([
			this.#injectAt(() => this.#faults.replaceInSeries()),
			...Array.from({length: count}, async () => this.#injectAt(() => this.#options.replacementsOnly ? this.#faults.replaceInSeries() : this.#faults.pick())),
		]);
		this.#refusals.share = refusedShare.calm;
		if (losesPower) {
			await this.#play(this.#faults.losePower());
		}
	}

	async #injectAt(draw: () => ReturnType<SoakFaults['pick']>): Promise<void> {
		await sleep(this.#random.next() * roundMs);
		await this.#play(draw());
	}

	async #play(fault: ReturnType<SoakFaults['pick']>): Promise<void> {
		const at = this.#now();
		const span = {names: new Set([...fault.nodes.map(({name}) => name), ...fault.targets ?? []]), from: at, to: Number.POSITIVE_INFINITY};
		this.#faultSpans.push(span);
		for (const node of fault.nodes) {
			node.beginFault();
		}

		this.#lostDisks.update();
		await fault.begin();
		await sleep(fault.holdMs ?? holdMs.least + (this.#random.next() * (holdMs.most - holdMs.least)));
		await fault.end?.();
		span.to = this.#now();
		this.#lostDisks.update();
		for (const node of fault.nodes) {
			node.endFault(this.#now());
		}

		this.#injected.push({name: fault.name, at, forMs: this.#now() - at});
	}

	/** Waits until requests are served and a change is accepted again, then checks the share of served requests in a period without faults. */
	async #checkRecovery(): Promise<void> {
		await this.#waitUntilLoaded();
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
		if (!await this.#operator.change()) {
			this.problems.push('a change was not accepted at the end');
		}

		for (const node of this.#deployment.control) {
			if (!await this.#operator.read(node)) { // eslint-disable-line no-await-in-loop
				this.problems.push(`${node.name} did not answer the read at the end`);
			}
		}

		await this.#checkVoters();

		const {records} = this.#callers;
		const calm = records.filter(({withoutRecentFault}) => withoutRecentFault);
		const servedShare = calm.filter(({outcome}) => outcome === 'served').length / Math.max(1, calm.length);
		this.#overlaps = checkSoakOverlaps(this.#deployment, records.map(({id, kind, entry}) => ({
			id, name: kind, unsafe: kind === 'order' || kind === 'note', entry: entry.name,
		})), {startedAt: this.#startedAt, isInTouch: (names, at) => this.#isInTouch(names, at - this.#startedAt)});
		const fromRecords = checkRecords(records, this.#deployment.runs);
		this.problems.push(...this.#operator.problems, ...fromRecords, ...checkProbes(this.#probes.records, servedShare), ...this.#checkRetries(), ...this.#overlaps.problems);
	}

	/** True if no fault affected any of the nodes within the stability window before a time since the start of the run. */
	#isInTouch(names: ReadonlySet<string>, at: number): boolean {
		return !this.#faultSpans.some(({names: affected, from, to}) => from <= at && to >= at - stabilityWindowMs && [...affected].some(name => names.has(name)));
	}

	/** Checks that each control node knows as many voters as the deployment needs, and none that is gone for good. */
	async #checkVoters(): Promise<void> {
		const {control} = this.#deployment;
		const running = new Set(control.map(({peerAddress}) => peerAddress));
		for (const node of control) {
			const status = await this.#deployment.controlStatus(node); // eslint-disable-line no-await-in-loop
			const voters = status?.consensus.voters ?? [];
			const gone = voters.filter(voter => !running.has(voter));
			if (voters.length !== control.length || gone.length > 0) {
				this.problems.push(`${node.name} (${status?.consensus.role ?? 'no status'}) knows ${voters.length} voters at the end, ${gone.join(', ') || 'none'} of them gone`);
			}
		}
	}

	/** Checks what arrived at targets against the requests of callers, and the other requests at their first arrival: the route of a probe may have moved since it was sent. */
	#checkRetries(): string[] {
		const {arrivals} = this.#deployment;
		const calls = this.#callers.records.flatMap(({kind, sentAt, refusedSendings}) => [...refusedSendings, {sentAt}].map(sending => ({
			service: kind === 'draft' || kind === 'note' ? 'writers' as const : 'desk' as const, at: sending.sentAt + this.#startedAt,
		})));
		const called = new Set(this.#callers.records.map(({id}) => id));
		const others = new Map(arrivals.filter(({id}) => !called.has(id)).toReversed().map(arrival => [arrival.key, arrival]));
		return checkRetries([...calls, ...others.values()], arrivals);
	}

	/** Share of the sendings since a time, of requests that are finished by now, that were served; 0 if there are fewer than are usually sent in a quarter of a second. */
	#servedSince(since: number): number {
		const recent = this.#callers.records
			.flatMap(({sentAt, outcome, refusedSendings}) => [...refusedSendings.map(sending => ({sentAt: sending.sentAt, outcome: 'refused'})), {sentAt, outcome}])
			.filter(({sentAt}) => sentAt >= since);
		return recent.length < this.#requestsPerSecond / 4 ? 0 : recent.filter(({outcome}) => outcome === 'served').length / recent.length;
	}

	/** Waits for Node to load the programs of processes that were started; until then they can neither start to serve nor recover. */
	async #waitUntilLoaded(): Promise<void> {
		await this.#waitUntil(() => this.#deployment.nodes.every(({loading}) => !loading), startTimeoutMs);
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
