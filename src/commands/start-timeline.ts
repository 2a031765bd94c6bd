import type {LogLine} from './log-line.ts';

/** Stages of the start of a process, in order, by the log event that marks their end. */
const stages = ['starting', 'listening', 'started', 'first-feed', 'state-taken', 'first-target', 'first-served'] as const;

type Stage = (typeof stages)[number];
/** One start of a process: its node, when it began, and the time from then to the end of each stage, in milliseconds. */
type Start = {readonly node: string; readonly at: number; readonly reached: ReadonlyMap<Stage, number>};

/**
 * Shows how processes started: a line for each start, a line for each stage with the first, median and last time over all
 * starts, and the slowest start with the time of each of its stages. Empty if no log line says that a process started.
 */
export function startTimeline(lines: readonly LogLine[]): readonly string[] {
	const starts = readStarts(lines.toSorted((left, right) => left.time < right.time ? -1 : 1));
	if (starts.length === 0) {
		return [];
	}

	return [
		...starts.map(({node, at, reached}) => `${new Date(at).toISOString()} ${node} ${formatStages(reached)}`),
		...stages.flatMap(stage => summarize(stage, starts)),
		describeSlowest(starts),
	];
}

function readStarts(lines: readonly LogLine[]): readonly Start[] {
	const starts: Start[] = [];
	const newest = new Map<string, {at: number; reached: Map<Stage, number>}>();
	for (const {node, time, msg} of lines) {
		const at = Date.parse(time);
		if (msg === 'starting') {
			const start = {node, at, reached: new Map<Stage, number>([['starting', 0]])};
			newest.set(node, start);
			starts.push(start);
			continue;
		}

		const start = newest.get(node);
		const stage = stages.find(name => name === msg);
		if (start !== undefined && stage !== undefined && !start.reached.has(stage)) {
			start.reached.set(stage, at - start.at);
		}
	}

	return starts;
}

function formatStages(reached: ReadonlyMap<Stage, number>): string {
	return stages.filter(stage => reached.has(stage)).map(stage => `${stage}=${reached.get(stage)!}ms`).join(' ');
}

function summarize(stage: Stage, starts: readonly Start[]): readonly string[] {
	const times = starts.flatMap(({reached}) => reached.get(stage) ?? []).sort((left, right) => left - right);
	return times.length === 0 || stage === 'starting'
		? []
		: [`${stage}: ${times.length} of ${starts.length} starts, first ${times[0]!} ms, median ${times[Math.floor(times.length / 2)]!} ms, last ${times.at(-1)!} ms`];
}

/** The start that took longest to its last stage, and how long each of its stages took. */
function describeSlowest(starts: readonly Start[]): string {
	const lengthOf = ({reached}: Start) => Math.max(...reached.values());
	const slowest = starts.toSorted((left, right) => lengthOf(right) - lengthOf(left))[0]!;
	const ordered = [...slowest.reached].sort(([, left], [, right]) => left - right);
	const parts = ordered.slice(1).map(([stage, ms], index) => `${stage} +${ms - ordered[index]![1]} ms`);
	return `longest: ${slowest.node}, ${lengthOf(slowest)} ms: ${parts.join(', ')}`;
}
