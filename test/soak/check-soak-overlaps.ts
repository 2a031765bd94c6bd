import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {checkOverlaps} from './check-overlaps.ts';
import {linesOf} from './lines-of.ts';
import {listedStandstillMs} from './listed-standstill-ms.ts';
import type {SoakDeployment} from './soak-deployment.ts';

type SoakRequest = {
	readonly id: string;
	readonly name: string;
	readonly unsafe: boolean;
	/** Name of the entry that the caller connected to. */
	readonly entry: string;
};

type SoakOverlapOptions = {
	/** Start of the run by `performance.now()`, from which printed times count. */
	readonly startedAt: number;
	/** Whether all of these nodes and targets were in touch at a time by `performance.now()`. @default always */
	readonly isInTouch?: (names: ReadonlySet<string>, at: number) => boolean;
};

/** Time from the head of the later target on after which an overlap breaks the rule, in milliseconds. */
const boundMs = 400;
/** Maximum number of log lines that are printed for a request. */
const maxLines = 14;

/** Checks the runs at the targets of a deployment for overlaps that last too long. The targets run in this process. */
export function checkSoakOverlaps(deployment: SoakDeployment, requests: readonly SoakRequest[], {startedAt, isInTouch = () => true}: SoakOverlapOptions): ReturnType<typeof checkOverlaps> {
	const {runs} = deployment;
	const regions = new Map(deployment.engines.map(({engine, region}) => [engine.identifier, region]));
	const entryOf = new Map(requests.map(({id, entry}) => [id, entry]));
	const since = (at: number | undefined) => at === undefined ? 'never' : `${Math.round(at - startedAt)}`;
	const entriesOf = (id: string, targets: readonly string[]) => {
		const local = new Set(targets.map(target => regions.get(target)));
		return deployment.entries.filter(({name, region}) => name === entryOf.get(id) || local.has(region));
	};

	return checkOverlaps(requests.map(request => ({...request, runs: runs.get(request.id) ?? []})), {
		now: performance.now(),
		isInTouch(id, {earlier, later, headAt}) {
			const names = new Set([...entriesOf(id, [earlier, later]).map(({name}) => name), earlier, later]);
			return isInTouch(names, headAt + boundMs);
		},
		standstillMs(id, {earlier, later, headAt: from, endedAt: to}) {
			const own = listedStandstillMs(path.join(deployment.folder, 'soak.log.late.delays'), {from, to});
			return Math.max(own, ...entriesOf(id, [earlier, later]).map(({logFile}) => listedStandstillMs(`${logFile}.late.delays`, {from, to, onlyWaiting: true})));
		},
		describe: id => [
			...(runs.get(id) ?? []).map(({target, startedAt: at, headAt, progressAt, endedAt, end}) => {
				const events = `${progressAt.length} events from ${since(progressAt[0])} to ${since(progressAt.at(-1))}`;
				return `run: ${target}, from ${since(at)} ms, head ${since(headAt)}, ${events}, ended ${since(endedAt)}, ${end ?? 'at work'}`;
			}),
			`caller at ${entryOf.get(id)!}`,
			...deployment.entries.flatMap(({logFile}) => linesOf(logFile).filter(line => line.includes(`"${id}"`))).slice(0, maxLines),
		],
	});
}
