import test from 'ava';
import {readLogLines} from '../../src/commands/read-log-lines.ts';
import {startTimeline} from '../../src/commands/start-timeline.ts';

function line(ms: number, node: string, message: string): string {
	return JSON.stringify({
		level: 30, time: new Date(ms).toISOString(), node, msg: message,
	});
}

test('each start of a process is shown with its stages, then each stage over all starts, then the slowest start', t => {
	const text = [
		line(1000, 'entry-1', 'starting'),
		line(1300, 'entry-1', 'listening'),
		line(1800, 'entry-1', 'started'),
		line(1900, 'entry-1', 'state-taken'),
		line(2000, 'entry-2', 'starting'),
		line(2100, 'entry-2', 'started'),
		line(2150, 'entry-2', 'refused'),
		line(2500, 'entry-1', 'state-taken'),
		line(9000, 'entry-2', 'starting'),
		line(9050, 'entry-2', 'started'),
	].join('\n');
	t.deepEqual(startTimeline(readLogLines(text)), [
		'1970-01-01T00:00:01.000Z entry-1 starting=0ms listening=300ms started=800ms state-taken=900ms',
		'1970-01-01T00:00:02.000Z entry-2 starting=0ms started=100ms',
		'1970-01-01T00:00:09.000Z entry-2 starting=0ms started=50ms',
		'listening: 1 of 3 starts, first 300 ms, median 300 ms, last 300 ms',
		'started: 3 of 3 starts, first 50 ms, median 100 ms, last 800 ms',
		'state-taken: 1 of 3 starts, first 900 ms, median 900 ms, last 900 ms',
		'longest: entry-1, 900 ms: listening +300 ms, started +500 ms, state-taken +100 ms',
	]);
});

test('logs without the start of a process give no timeline', t => {
	t.deepEqual(startTimeline(readLogLines(line(1000, 'entry-1', 'refused'))), []);
});
