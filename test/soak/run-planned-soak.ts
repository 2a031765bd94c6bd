import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '../../src/core/common/seeded-random.ts';
import {judgeCut} from './check-lost.ts';
import {checkSoakOverlaps} from './check-soak-overlaps.ts';
import {describeLost} from './describe-lost.ts';
import {PlannedCallers} from './planned-callers.ts';
import type {PlannedRecord} from './planned-record.ts';
import {PlannedWork} from './planned-work.ts';
import {refusedAndRun} from './refused-and-run.ts';
import type {RefusedSending} from './refused-sending.ts';
import {SoakDeployment} from './soak-deployment.ts';
import {SoakOperator} from './soak-operator.ts';
import type {SoakRefusals} from './soak-refusals.ts';
import {waitUntil} from './wait-until.ts';

type PlannedSoakOptions = {
	readonly seed: number;
	/** Time after the first request after which no further round begins, in minutes. */
	readonly minutes: number;
	/** @default 2 */
	readonly entriesPerRegion?: number;
	/** @default 20 */
	readonly requestsPerSecond?: number;
	/** True if all targets of a service are in one region. @default false */
	readonly forwarded?: boolean;
};

type PlannedSoakReport = {
	readonly seed: number;
	readonly lengthMs: number;
	/** Messages of failed checks. */
	readonly problems: readonly string[];
	readonly records: readonly PlannedRecord[];
	readonly steps: ReadonlyArray<{readonly name: string; readonly at: number}>;
	readonly startedAt: number;
	/** Refusals by targets, and copies of them. */
	readonly refusals: SoakRefusals;
	/** What became of the requests that ran at two targets. */
	readonly overlaps: ReturnType<typeof checkSoakOverlaps>;
	/** Folder of the processes' logs, kept if a check failed. */
	readonly folder: string;
};

/** Time without any change after the start and after each round, in milliseconds; the first equals the stability window of the first deployments. */
const stabilityWindowMs = 6000;
const settleMs = 2000;
const startTimeoutMs = 20_000;
/** Interval at which processes that have loaded their programs are noted, in milliseconds. */
const pollMs = 100;
/** Statuses that state that a request has not run. */
const notRunStatuses = new Set([408, 421, 429, 503]);
const loopProbe = new URL('../harness/loop-probe.js', import.meta.url).href;

/** Runs real processes with planned work only, entries stopped in series beside new configurations and targets that leave, and checks that no request is lost and that none runs at two targets for too long. */
export async function runPlannedSoak({seed, minutes, entriesPerRegion = 2, requestsPerSecond = 20, forwarded = false}: PlannedSoakOptions): Promise<PlannedSoakReport> {
	const startedAt = performance.now();
	const deployment = await SoakDeployment.create({entriesPerRegion, random: new SeededRandom(seed + 1), forwarded});
	const now = () => performance.now() - startedAt;
	const callers = new PlannedCallers(deployment, {random: new SeededRandom(seed + 2), refusedRandom: new SeededRandom(seed + 8)});
	const operator = new SoakOperator(deployment, {random: new SeededRandom(seed + 3), furtherRandom: new SeededRandom(seed + 4), now});
	const work = new PlannedWork(deployment, new SeededRandom(seed));
	const problems: string[] = [];
	let timer: NodeJS.Timeout | undefined;
	try {
		// The callers' times are those of this process, so that its delays are listed like those of the nodes.
		process.env.LOOP_PROBE_FILE = path.join(deployment.folder, 'soak.log.late');
		await import(loopProbe);
		work.prepareTargets(new SeededRandom(seed + 5), new SeededRandom(seed + 7));
		await deployment.start();
		timer = setInterval(() => {
			for (const node of deployment.nodes) {
				node.noteLoaded(now());
			}
		}, pollMs);
		if (!await waitUntil(async () => deployment.nodes.every(({loading}) => !loading) && operator.change(), startTimeoutMs)) {
			problems.push('the deployment did not start');
		}

		operator.start();
		await sleep(stabilityWindowMs);
		callers.start(requestsPerSecond);
		const filling = work.fillTargets();
		for (const endsAt = now() + (minutes * 60_000); now() < endsAt && problems.length === 0;) {
			await sleep(settleMs); // eslint-disable-line no-await-in-loop
			await work.playRound(); // eslint-disable-line no-await-in-loop
			if (!await waitUntil(() => deployment.nodes.every(({loading}) => !loading), startTimeoutMs)) { // eslint-disable-line no-await-in-loop
				problems.push('an entry did not start again');
			}
		}

		work.stopFilling();
		operator.stop();
		await Promise.all([filling, callers.finish()]);
		if (!callers.records.some(({outcome}) => outcome === 'answered') || work.stops.length === 0) {
			problems.push('nothing was played');
		}

		problems.push(...operator.problems, ...callers.records.flatMap(({id, problem}) => problem === undefined ? [] : [`${id}: ${problem}`]));
		const runsById = deployment.runs;
		for (const record of callers.records) {
			const runs = runsById.get(record.id) ?? [];
			problems.push(...refusedAndRun({
				id: record.id, name: record.path, refused: refusedSendingsOf(record).map(sending => ({...sending, sentAt: sending.sentAt - startedAt})), runs,
			}));
			record.cutFor = judgeCut(record, runs, work.stops);
			if (record.cutFor === 'lost') {
				problems.push(describeLost(record, {deployment, startedAt}));
			}
		}

		const overlaps = checkSoakOverlaps(deployment, callers.records.map(({id, path, entry}) => ({
			id, name: path, unsafe: !path.startsWith('/long/'), entry,
		})), {startedAt});
		problems.push(...overlaps.problems);
		return {
			seed, lengthMs: now(), problems, records: callers.records, steps: work.steps, startedAt, refusals: deployment.refusals, overlaps, folder: deployment.folder,
		};
	} finally {
		clearInterval(timer);
		await deployment.dispose({keepFolder: problems.length > 0});
	}
}

/** Sendings of a request that were refused as not run, the last one included. */
function refusedSendingsOf({entry, sentAt, status, refusedSendings = []}: PlannedRecord): readonly RefusedSending[] {
	return status !== undefined && notRunStatuses.has(status) ? [...refusedSendings, {entry, sentAt, status}] : refusedSendings;
}
