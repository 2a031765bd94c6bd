// Loaded into a child process before its program: writes the longest delay of its event loop so far into a file, in milliseconds.
import {writeFileSync} from 'node:fs';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import process from 'node:process';

const resolutionMs = 20;
const writeEveryMs = 500;
const nanosecondsPerMs = 1e6;

const delays = monitorEventLoopDelay({resolution: resolutionMs});
delays.enable();
let written = 0;
setInterval(() => {
	// The histogram's values include the timer's own interval.
	const lateMs = Math.max(0, (delays.max / nanosecondsPerMs) - resolutionMs);
	if (lateMs > written) {
		written = lateMs;
		try {
			writeFileSync(`${process.env.LOOP_PROBE_FILE}.${process.pid}`, String(Math.round(lateMs)));
		} catch {
			// The run's folder was deleted.
		}
	}
}, writeEveryMs).unref();
