import {setTimeout as delay} from 'node:timers/promises';
import type {CallRecord} from './call-record.ts';
import {groupBy} from './group-by.ts';
import type {RunState} from './run-state.ts';
import type {Scenario} from './scenario.ts';

const pollMs = 200;

/** Evaluates the checks of a scenario, which come on top of the invariants; returns a message for each that failed. */
export async function checkScenario(state: RunState, checks: Scenario['checks']): Promise<string[]> {
	const lines = state.launcher.runLog();
	const crashes = lines.filter(({event}) => event === 'crash').length;
	const resumed = lines.filter(line => line.event === 'start' && line.resumed).length;
	return [
		...checkEachLoad(checks.whole, (load, share) => checkWholeShare(requestsOf(state, load), share)),
		...checkEachLoad(checks.refusedWithin, (load, limits) => checkRefusals(recordsOf(state, load), limits)),
		...checkEachLoad(checks.p90Ms, (load, limit) => checkP90(recordsOf(state, load), limit)),
		...checkEachLoad(checks.maxMs, (load, limit) => checkAtMost('ms for one sending', Math.max(...recordsOf(state, load).map(({sentAt, endAt}) => endAt - sentAt)), limit)),
		...checkEachLoad(checks.minAway, (load, least) => checkAtLeast('runs in remote regions', noteRemoteRuns(state, load, countRemoteRuns(state, load)), least)),
		...checkEachLoad(checks.maxAway, (load, most) => checkAtMost('runs in remote regions', noteRemoteRuns(state, load, countRemoteRuns(state, load)), most)),
		...checkEachLoad(checks.maxBroken, (load, most) => checkAtMost('broken answers', countBrokenAnswers(state, load), most)),
		...checkEachLoad(checks.minNotRun, (load, least) => checkAtLeast('refusals that say "not run"', recordsOf(state, load).filter(({ran}) => ran === 'no').length, least)),
		...checkAtLeast('resumed attempts', resumed, checks.minResumed),
		...checkAtLeast('crashes', crashes, checks.minCrashes ?? 0),
		...checkAtMost('crashes', crashes, checks.maxCrashes ?? Number.POSITIVE_INFINITY),
		...(checks.leftAfterMs === undefined ? [] : checkNoRunsAfterLeaving(state, checks.leftAfterMs)),
		...(checks.maxHops === undefined ? [] : checkAtMost('forwards for one sending', await forwardsPerSending(state), checks.maxHops)),
		...(checks.agreeMs === undefined ? [] : await checkAgreement(state, checks.agreeMs)),
	];
}

function checkEachLoad<Value>(values: Readonly<Record<string, Value>>, check: (load: string, value: Value) => string[]): string[] {
	return Object.entries(values).flatMap(([load, value]) => check(load, value).map(problem => `${load}: ${problem}`));
}

function recordsOf(state: RunState, load: string): CallRecord[] {
	return state.records.filter(record => record.load === load);
}

/** Records of a load grouped by request: the first sending and its retries. */
function requestsOf(state: RunState, load: string): CallRecord[][] {
	return [...groupBy(recordsOf(state, load), ({digest, region}) => `${region} ${digest}`).values()];
}

function checkWholeShare(requests: readonly CallRecord[][], share: number): string[] {
	const unserved = requests.filter(sendings => sendings.every(({outcome}) => outcome !== 'whole'));
	const served = 1 - (unserved.length / requests.length);
	const reasons = [...groupBy(unserved, sendings => sendings.at(-1)!.result ?? sendings.at(-1)!.outcome)].map(([result, {length}]) => `${length} ${result}`);
	return requests.length > 0 && served >= share ? [] : [`${served.toFixed(3)} of ${requests.length} answered whole instead of ${share} (${reasons.join(', ')})`];
}

function checkRefusals(records: readonly CallRecord[], limits: {atLeast: number; ms: number}): string[] {
	const refused = records.filter(({outcome}) => outcome === 'refused');
	const late = refused.filter(({sentAt, endAt}) => endAt - sentAt > limits.ms);
	const withoutRetryAfter = refused.filter(({retryAfterMs}) => !(retryAfterMs! > 0));
	return [
		...checkAtLeast('refusals', refused.length, limits.atLeast),
		...late.slice(0, 1).map(({sentAt, endAt, result}) => `${late.length} refusals later than ${limits.ms} ms, such as ${result} after ${endAt - sentAt} ms`),
		...withoutRetryAfter.slice(0, 1).map(({result}) => `${withoutRetryAfter.length} refusals without a retry delay, such as ${result}`),
	];
}

function checkP90(records: readonly CallRecord[], limit: number): string[] {
	const times = records.filter(({outcome}) => outcome === 'whole').map(({sentAt, endAt}) => endAt - sentAt).sort((a, b) => a - b);
	const value = times[Math.floor(times.length * 0.9)] ?? Infinity;
	return value <= limit ? [] : [`9 in 10 answers within ${value} ms instead of ${limit} ms`];
}

function countRemoteRuns(state: RunState, load: string): number {
	const regions = new Map(recordsOf(state, load).map(({digest, region}) => [digest, region]));
	return state.launcher.runLog().filter(line => line.event === 'start' && regions.has(line.digest!) && regions.get(line.digest!) !== line.region).length;
}

function noteRemoteRuns(state: RunState, load: string, remoteRuns: number): number {
	state.notes.push(`${load}: ${remoteRuns} runs in remote regions`);
	return remoteRuns;
}

function checkNoRunsAfterLeaving(state: RunState, limit: number): string[] {
	const lines = state.launcher.runLog();
	const leavingEvents = lines.filter(({event}) => event === 'leaving');
	const late = leavingEvents.flatMap(leaving => lines.filter(line => line.event === 'start' && line.target === leaving.target && line.at > leaving.at + limit)
		.map(({at, target}) => `${target} received a request ${at - leaving.at} ms after it announced that it leaves`));
	return [...checkAtLeast('"leaving" events in the run logs', leavingEvents.length, 1), ...late];
}

function checkAtLeast(quantity: string, value: number, least: number): string[] {
	return value >= least ? [] : [`${value} ${quantity} instead of at least ${least}`];
}

function checkAtMost(quantity: string, value: number, most: number): string[] {
	return value <= most ? [] : [`${value} ${quantity} instead of at most ${most}`];
}

/** Counts answers that broke off after the connection to the entry was established. */
function countBrokenAnswers(state: RunState, load: string): number {
	return recordsOf(state, load).filter(({outcome, detail}) => outcome === 'broken' && !detail?.includes('ECONNREFUSED')).length;
}

/** Forwards between regions per sending of a caller, by the metrics of all entries. */
async function forwardsPerSending({launcher, records, notes}: RunState): Promise<number> {
	const pages = await Promise.all(launcher.spec.nodes.map(async ({node}) => String(await launcher.get(node, '/metrics'))));
	const counts = pages.map(page => Number(page.split('\n').find(line => line.startsWith('lovageferry_attempts_total{reason="peer"}'))?.split(' ').at(-1) ?? 0));
	const forwards = counts.reduce((sum, count) => sum + count, 0);
	notes.push(`${forwards} forwards for ${records.length} sendings`);
	return forwards / records.length;
}

/** Waits until all nodes return the same settings tree; after the limit returns a message with the start of each tree. */
async function checkAgreement({launcher}: RunState, limitMs: number): Promise<string[]> {
	const end = Date.now() + limitMs;
	for (;;) {
		const trees = await Promise.all(launcher.spec.nodes.map(async ({node}) => JSON.stringify(await launcher.get(node, '/v1/tree')))); // eslint-disable-line no-await-in-loop
		if (trees.every(tree => tree !== undefined && tree === trees[0])) {
			return [];
		}

		if (Date.now() > end) {
			return [`nodes hold different settings: ${launcher.spec.nodes.map(({node}, index) => `${node} ${trees[index]?.slice(0, 16)}`).join(', ')}`];
		}

		await delay(pollMs); // eslint-disable-line no-await-in-loop
	}
}
