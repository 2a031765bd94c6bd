import type {LogLine} from './log-line.ts';
import {readLogLines} from './read-log-lines.ts';

/** Events that tell what a process believed when it decided. */
const contextEvents = new Set(['state-taken', 'control-followed', 'started', 'stopping']);
const standardFields = new Set(['level', 'time', 'node', 'msg', 'request']);

const causesByReason: Readonly<Record<string, string>> = {
	'not-configured': 'the entry had no routes document yet: see when it started and which control node it followed',
	'no-route': 'no route of the document in force takes the request: compare the version with the operator\'s',
	overloaded: 'no target could start the request in time: see the lines before it for targets that turned it away',
	'no-target': 'no target of the service could be used from this region: look for target-changed, evacuation-began and attempt-failed',
	leaving: 'the entry was stopping',
	outdated: 'the entry that it was passed to had an older routes document than the one that forwarded the request',
	'target-failed': 'a target failed while it had the request, which may not be repeated any more: see attempt-failed',
	timeout: 'a target had the request, and its time was over: see the target and how long it had been there',
};

/** Timeline of one request: what was believed when it was first decided on, each decision, and the cause of its end. */
export function explainRequest(request: string, texts: readonly string[]): readonly string[] {
	const lines = texts.flatMap(text => readLogLines(text)).toSorted((left, right) => left.time < right.time ? -1 : 1);
	const decisions = lines.filter(line => line.request === request);
	if (decisions.length === 0) {
		return [];
	}

	const [first] = decisions;
	const nodes = new Set(decisions.map(({node}) => node));
	const context = [...nodes].flatMap(node => latestContext(lines, node, first!.time));
	const lastWithReason = decisions.findLast(({reason}) => reason !== undefined);
	const cause = causesByReason[lastWithReason?.reason ?? ''] ?? lastWithReason?.reason ?? `${decisions.at(-1)!.msg}: see the last line`;
	return [...[...context, ...decisions].map(line => format(line)), `cause: ${cause}`];
}

/** The newest line of each belief that a node held at a time. */
function latestContext(lines: readonly LogLine[], node: string, time: string): readonly LogLine[] {
	const newest = new Map<string, LogLine>();
	for (const line of lines) {
		if (line.node === node && line.time <= time && contextEvents.has(line.msg)) {
			newest.set(line.msg, line);
		}
	}

	return [...newest.values()];
}

function format(line: LogLine): string {
	const fields = Object.entries(line)
		.filter(([name, value]) => !standardFields.has(name) && value !== undefined)
		.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return `${line.time} ${line.node} ${line.msg} ${fields.join(' ')}`;
}
