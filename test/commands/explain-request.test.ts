import test from 'ava';
import {explainRequest} from '../../src/commands/explain-request.ts';

const line = (time: string, node: string, event: string, fields: object) => JSON.stringify({
	level: 30, time: `2026-12-04T01:00:${time}Z`, node, ...fields, msg: event,
});

const entry = [
	line('00.100', 'entry-1', 'started', {role: 'entry'}),
	line('00.400', 'entry-1', 'state-taken', {index: 7, version: 3, control: 'c1'}),
	`  12.5 entry-1 ${line('03.000', 'entry-1', 'attempt-not-run', {request: 'r1', target: 'i-1', status: 503})}`,
	line('03.100', 'entry-1', 'attempt-failed', {request: 'other', target: 'i-1', reason: 'reset'}),
	line('03.900', 'entry-1', 'refused', {request: 'r1', reason: 'overloaded', ran: 'no'}),
	'{"level":30,"time":"2026-12-04T01:00:04.0',
].join('\n');
const relay = line('03.500', 'entry-2', 'refused', {request: 'r1', reason: 'no-target', ran: 'no'});
const control = line('03.200', 'control-1', 'target-withdrawn', {target: 'i-1'});

test('log lines of several processes are merged into one timeline that ends with the cause', t => {
	const lines = explainRequest('r1', [entry, relay, control]);
	t.deepEqual(lines.map(text => text.split(' ').slice(1, 3).join(' ')), [
		'entry-1 started', 'entry-1 state-taken', 'entry-1 attempt-not-run', 'entry-2 refused', 'entry-1 refused', 'no target',
	]);
	t.regex(lines[1]!, /version=3/v);
	t.regex(lines.at(-1)!, /^cause: no target could start/v);
});

test('the time for which two targets were at work on a request at once is one line before the cause', t => {
	const overlaps = (...fields: readonly object[]) => {
		const text = fields.map((each, index) => line(`02.${index}00`, 'entry-1', 'attempt-cancelled', {request: 'r1', target: 'i-1', ...each})).join('\n');
		return explainRequest('r1', [entry, text]).filter(each => each.startsWith('overlap: '));
	};

	t.deepEqual(overlaps({other: 'i-2', reason: 'overlap-limit', overlapMs: 212}, {reason: 'caller-gone', overlapMs: 0}), [
		'overlap: two targets were at work at once: i-1 beside i-2 for 212 ms at entry-1 (overlap-limit); i-1 beside another attempt for 0 ms at entry-1 (caller-gone)',
	]);
	t.deepEqual(overlaps({reason: 'caller-gone'}), []);
	t.regex(explainRequest('r1', [entry]).at(-1)!, /^cause: /v);
});

test('what says that attempts have not run is one line, with what their connections had carried before', t => {
	const answers = [
		{
			target: 'i-1', status: 503, connection: 4, earlierRequests: 7, isRepeat: false,
		},
		{
			target: 'i-2', status: 421, connection: 5, earlierRequests: 1, isRepeat: true,
		},
	].map((fields, index) => line(`03.${index}00`, 'entry-1', 'attempt-not-run', {request: 'r1', ...fields}));
	t.deepEqual(explainRequest('r1', [answers.join('\n')]).filter(each => each.startsWith('not run: ')), [
		'not run: by the answer of i-1 with 503 at entry-1 on connection 4 after 7 requests, none of them this request; i-2 with 421 at entry-1 on connection 5 after 1 requests, this request among them',
	]);
});

test('a request that no log line names has an empty timeline', t => {
	t.deepEqual(explainRequest('r9', [entry, relay]), []);
});
