import {setTimeout as delay} from 'node:timers/promises';
import type {CallRecord} from './call-record.ts';
import {groupBy} from './group-by.ts';
import type {RunState} from './run-state.ts';
import type {Scenario} from './scenario.ts';

const pollMs = 200;

/** Checks what one scenario asks for besides the invariants; returns what did not hold. */
export async function checkScenario(state: RunState, checks: Scenario['checks']): Promise<string[]> {
	const lines = state.launcher.runLog();
	const crashes = lines.filter(({event}) => event === 'crash').length;
	const resumed = lines.filter(line => line.event === 'start' && line.resumed).length;
	return [
		...each(checks.whole, (load, share) => wholeShare(requestsOf(state, load), share)),
		...each(checks.refusedWithin, (load, limits) => refusedWithin(recordsOf(state, load), limits)),
		...each(checks.p90Ms, (load, limit) => slowest(recordsOf(state, load), limit)),
		...each(checks.maxMs, (load, limit) => atMost('ms for one sending', Math.max(...recordsOf(state, load).map(({sentAt, endAt}) => endAt - sentAt)), limit)),
		...each(checks.minAway, (load, least) => atLeast('away', noted(state, load, awayRuns(state, load)), least)),
		...each(checks.maxAway, (load, most) => atMost('away', noted(state, load, awayRuns(state, load)), most)),
		...each(checks.maxBroken, (load, most) => atMost('broken answers', brokenAnswers(state, load), most)),
		...each(checks.minNotRun, (load, least) => atLeast('refusals that say "not run"', recordsOf(state, load).filter(({ran}) => ran === 'no').length, least)),
		...atLeast('resumed attempts', resumed, checks.minResumed),
		...atLeast('crashes', crashes, checks.minCrashes ?? 0),
		...atMost('crashes', crashes, checks.maxCrashes ?? Number.POSITIVE_INFINITY),
		...(checks.leftAfterMs === undefined ? [] : afterLeaving(state, checks.leftAfterMs)),
		...(checks.maxHops === undefined ? [] : atMost('forwards for one sending', await hops(state), checks.maxHops)),
		...(checks.agreeMs === undefined ? [] : await disagreement(state, checks.agreeMs)),
	];
}

function each<Value>(values: Readonly<Record<string, Value>>, check: (load: string, value: Value) => string[]): string[] {
	return Object.entries(values).flatMap(([load, value]) => check(load, value).map(problem => `${load}: ${problem}`));
}

function recordsOf(state: RunState, load: string): CallRecord[] {
	return state.records.filter(record => record.load === load);
}

/** The sendings of each request of a load. */
function requestsOf(state: RunState, load: string): CallRecord[][] {
	return [...groupBy(recordsOf(state, load), ({digest, region}) => `${region} ${digest}`).values()];
}

function wholeShare(requests: readonly CallRecord[][], share: number): string[] {
	const rest = requests.filter(sendings => sendings.every(({outcome}) => outcome !== 'whole'));
	const served = 1 - (rest.length / requests.length);
	const why = [...groupBy(rest, sendings => sendings.at(-1)!.result ?? sendings.at(-1)!.outcome)].map(([result, {length}]) => `${length} ${result}`);
	return requests.length > 0 && served >= share ? [] : [`${served.toFixed(3)} of ${requests.length} answered whole instead of ${share} (${why.join(', ')})`];
}

function refusedWithin(records: readonly CallRecord[], limits: {atLeast: number; ms: number}): string[] {
	const refused = records.filter(({outcome}) => outcome === 'refused');
	const late = refused.filter(({sentAt, endAt}) => endAt - sentAt > limits.ms);
	const silent = refused.filter(({retryAfterMs}) => !(retryAfterMs! > 0));
	return [
		...atLeast('refusals', refused.length, limits.atLeast),
		...late.slice(0, 1).map(({sentAt, endAt, result}) => `${late.length} refusals later than ${limits.ms} ms, such as ${result} after ${endAt - sentAt} ms`),
		...silent.slice(0, 1).map(({result}) => `${silent.length} refusals without a time to come back, such as ${result}`),
	];
}

function slowest(records: readonly CallRecord[], limit: number): string[] {
	const times = records.filter(({outcome}) => outcome === 'whole').map(({sentAt, endAt}) => endAt - sentAt).sort((a, b) => a - b);
	const value = times[Math.floor(times.length * 0.9)] ?? Infinity;
	return value <= limit ? [] : [`9 in 10 answers within ${value} ms instead of ${limit} ms`];
}

function awayRuns(state: RunState, load: string): number {
	const regions = new Map(recordsOf(state, load).map(({digest, region}) => [digest, region]));
	return state.launcher.runLog().filter(line => line.event === 'start' && regions.has(line.digest!) && regions.get(line.digest!) !== line.region).length;
}

function noted(state: RunState, load: string, away: number): number {
	state.notes.push(`${load}: ${away} runs away`);
	return away;
}

function afterLeaving(state: RunState, limit: number): string[] {
	const lines = state.launcher.runLog();
	const leavings = lines.filter(({event}) => event === 'leaving');
	const late = leavings.flatMap(leaving => lines.filter(line => line.event === 'start' && line.target === leaving.target && line.at > leaving.at + limit)
		.map(({at, target}) => `${target} got work ${at - leaving.at} ms after it left`));
	return [...atLeast('leavings', leavings.length, 1), ...late];
}

function atLeast(what: string, value: number, least: number): string[] {
	return value >= least ? [] : [`${value} ${what} instead of at least ${least}`];
}

function atMost(what: string, value: number, most: number): string[] {
	return value <= most ? [] : [`${value} ${what} instead of at most ${most}`];
}

/** Sendings that broke after their connection was made. */
function brokenAnswers(state: RunState, load: string): number {
	return recordsOf(state, load).filter(({outcome, detail}) => outcome === 'broken' && !detail?.includes('ECONNREFUSED')).length;
}

/** Forwards between regions by all entries' own counters, for each sending of a caller. */
async function hops({launcher, records, notes}: RunState): Promise<number> {
	const pages = await Promise.all(launcher.spec.nodes.map(async ({node}) => String(await launcher.get(node, '/metrics'))));
	const counts = pages.map(page => Number(page.split('\n').find(line => line.startsWith('lovageferry_attempts_total{reason="peer"}'))?.split(' ').at(-1) ?? 0));
	const forwards = counts.reduce((sum, count) => sum + count, 0);
	notes.push(`${forwards} forwards for ${records.length} sendings`);
	return forwards / records.length;
}

/** Waits until every node shows the same tree; returns who does not. */
async function disagreement({launcher}: RunState, limitMs: number): Promise<string[]> {
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
