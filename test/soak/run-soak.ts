import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '../../src/core/common/seeded-random.ts';
import {checkRecords} from './check-records.ts';
import {SoakCallers} from './soak-callers.ts';
import {SoakDeployment} from './soak-deployment.ts';
import {SoakFaults} from './soak-faults.ts';
import {SoakOperator} from './soak-operator.ts';
import type {SoakReport} from './soak-report.ts';

type SoakOptions = {
	readonly seed: number;
	/** How long faults are injected. */
	readonly minutes: number;
	/** @default 2 */
	readonly entriesPerRegion?: number;
	/** @default 40 */
	readonly requestsPerSecond?: number;
};

/** Faults of one round, the time within which they begin, and how long each holds. */
const faultsInRound = {least: 2, most: 6};
const roundMs = 5000;
const holdMs = {least: 300, most: 5000};
/** Time after the end of the faults within which requests must be served again (recovery of the first deployments), in milliseconds. */
const recoveryMs = 15_000;
/** Calm time after a recovery, in milliseconds, and the share of requests that must be served in it. */
const calmMs = 3000;
const calmShare = 0.95;
const startMs = 20_000;
const pollMs = 250;

/** Runs real processes under random faults and checks what callers, operators and targets see. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
	const {seed, minutes, entriesPerRegion = 2, requestsPerSecond = 40} = options;
	const random = new SeededRandom(seed);
	const deployment = await SoakDeployment.create({entriesPerRegion, random: new SeededRandom(seed + 1)});
	const startedAt = performance.now();
	const now = () => performance.now() - startedAt;
	const callers = new SoakCallers(deployment, {random: new SeededRandom(seed + 2), now});
	const operator = new SoakOperator(deployment, new SeededRandom(seed + 3));
	const faults = new SoakFaults(deployment, random);
	const problems: string[] = [];
	const injected: Array<SoakReport['faults'][number]> = [];

	const servedSince = (since: number) => {
		const recent = callers.records.filter(({sentAt}) => sentAt >= since);
		return recent.length < requestsPerSecond / 4 ? 0 : recent.filter(({outcome}) => outcome === 'served').length / recent.length;
	};

	const until = async (condition: () => Promise<boolean> | boolean, ms: number) => {
		for (const end = now() + ms; now() < end;) {
			if (await condition()) { // eslint-disable-line no-await-in-loop
				return true;
			}

			await sleep(pollMs); // eslint-disable-line no-await-in-loop
		}

		return false;
	};

	const inject = async () => {
		await sleep(random.next() * roundMs);
		const fault = faults.pick(now());
		const at = now();
		for (const node of fault.nodes) {
			node.faults += 1;
		}

		await fault.begin();
		const forMs = holdMs.least + (random.next() * (holdMs.most - holdMs.least));
		await sleep(forMs);
		await fault.end?.();
		for (const node of fault.nodes) {
			node.faults -= 1;
			node.touchedAt = now();
		}

		injected.push({name: fault.name, at, forMs: now() - at});
	};

	const recover = async () => {
		const healedAt = now();
		const back = await until(() => servedSince(now() - 1000) >= calmShare, recoveryMs);
		const changed = await until(async () => operator.change(), recoveryMs);
		if (!back || !changed) {
			problems.push(`${back ? 'no change was accepted' : 'requests were not served again'} within ${recoveryMs} ms after the faults that ended at ${Math.round(healedAt)} ms`);
			return;
		}

		const calmFrom = now();
		await sleep(calmMs);
		const share = servedSince(calmFrom);
		if (share < calmShare) {
			problems.push(`only ${share.toFixed(3)} of the requests were served in the calm from ${Math.round(calmFrom)} ms on`);
		}
	};

	try {
		await deployment.start();
		if (!await until(async () => operator.change(), startMs)) {
			problems.push('the deployment did not start');
		}

		callers.start(requestsPerSecond);
		operator.start();
		await recover();
		while (now() < minutes * 60_000 && problems.length === 0) {
			const count = faultsInRound.least + Math.floor(random.next() * (faultsInRound.most - faultsInRound.least + 1));
			await Promise.all(Array.from({length: count}, inject)); // eslint-disable-line no-await-in-loop
			await recover(); // eslint-disable-line no-await-in-loop
		}

		operator.stop();
		await callers.finish();
		for (const node of deployment.control) {
			if (!await operator.read(node)) { // eslint-disable-line no-await-in-loop
				problems.push(`${node.name} answered no read at the end`);
			}
		}

		problems.push(...operator.problems, ...checkRecords(callers.records, id => deployment.runsOf(id)));
		return {
			seed, lengthMs: now(), problems, faults: injected, records: callers.records, changes: operator.changes, reads: operator.reads, folder: deployment.folder,
		};
	} finally {
		await deployment.dispose({keepFolder: problems.length > 0});
	}
}
