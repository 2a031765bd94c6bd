import type {LogLine} from './log-line.ts';
import {readLogLines} from './read-log-lines.ts';

/** Log events that show the state on which a process based its decisions. */
const contextEvents = new Set(['state-taken', 'started-without-leader', 'control-followed', 'started', 'stopping']);
const standardFields = new Set(['level', 'time', 'node', 'msg', 'request']);

const causesByReason: Readonly<Record<string, string>> = {
	'not-configured': 'the entry had no routes document yet, or none that was sure to be the newest: see when it started and which control node it followed',
	'no-route': 'no route of the document in force matches the request: compare its version with the latest one',
	unauthorized: 'the route needs a key, and the request had none in its header, or one that no organisation of the document in force has: compare version with the latest one',
	'key-unverified': 'the key was not known, but the entry may have been behind: see control-followed and control_outdated_ms for its contact with control, and document-unreadable',
	quota: 'the organisation had used its quota: see organisation',
	overloaded: 'no target could start the request in time: see the lines before it for targets that refused it',
	'no-target': 'no target of the service could be used from this region: look for target-changed, evacuation-began and attempt-failed',
	paused: 'all targets of the service in this region had asked the entry for pauses that ended too late for the request: see target-paused',
	contained: 'the request has a part in its prompt, or is one itself, that was blamed for crashes of targets and with which no request was answered since: see trait-contained',
	'origin-unknown': 'the request takes up a stream, and neither the entry nor control knew at which software version it began: see stream-origin and restarts of both',
	leaving: 'the entry was shutting down',
	outdated: 'the entry that it was forwarded to had an older routes document than the forwarding entry',
	'target-failed': 'a target failed while it had the request, which must not be retried: see attempt-failed',
	timeout: 'the deadline passed while a target had the request: see which target and for how long',
};

/**
 * Timeline of one request from the logs of several processes: the state that the processes had when they first handled
 * it, each decision, for how long two targets were at work on it at once, and the cause of the outcome as the last line. Empty if no log line names the request.
 */
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
	return [...[...context, ...decisions].map(line => format(line)), ...describeOverlaps(decisions), ...describeNotRun(decisions), `cause: ${cause}`];
}

/** For how long two targets were at work on the request at once, in one line; none if they never were. */
function describeOverlaps(decisions: readonly LogLine[]): readonly string[] {
	const overlaps = decisions
		.filter(({msg, overlapMs}) => msg === 'attempt-cancelled' && typeof overlapMs === 'number')
		.map(({node, target, other, overlapMs, reason}) => {
			const name = typeof other === 'string' ? other : 'another attempt';
			return `${String(target)} beside ${name} for ${String(overlapMs)} ms at ${node} (${String(reason)})`;
		});
	return overlaps.length === 0 ? [] : [`overlap: two targets were at work at once: ${overlaps.join('; ')}`];
}

/** What says that attempts of the request have not run, in one line: the answers of targets, with the connections on which they came. */
function describeNotRun(decisions: readonly LogLine[]): readonly string[] {
	const answers = decisions
		.filter(({msg, connection}) => msg === 'attempt-not-run' && typeof connection === 'number')
		.map(({node, target, status, connection, earlierRequests, isRepeat}) => {
			const carried = isRepeat === true ? 'this request among them' : 'none of them this request';
			return `${String(target)} with ${String(status)} at ${node} on connection ${connection as number} after ${String(earlierRequests)} requests, ${carried}`;
		});
	return answers.length === 0 ? [] : [`not run: by the answer of ${answers.join('; ')}`];
}

/** The latest line of each context event that a node had logged up to a time. */
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
