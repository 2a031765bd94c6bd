// Loaded into a child process before its program: writes the longest delay of its event loop so far into a file, in milliseconds, and each long one with its time into another one.
import {appendFileSync, readFileSync, writeFileSync} from 'node:fs';
import {monitorEventLoopDelay, performance} from 'node:perf_hooks';
import process from 'node:process';

const resolutionMs = 20;
const writeEveryMs = 500;
const nanosecondsPerMs = 1e6;
/** Delays from this one on are listed with their time. */
const listedMs = 100;

const delays = monitorEventLoopDelay({resolution: resolutionMs});
delays.enable();
let longest = 0;
let times = processorTimes();
const [bootRanMs, bootWaitedMs] = times.map(ms => Math.round(ms));
list({
	bootMs: Math.round(performance.now()), ranMs: bootRanMs, waitedMs: bootWaitedMs,
});
setInterval(() => {
	// The histogram's values include the timer's own interval.
	const lateMs = Math.round(Math.max(0, (delays.max / nanosecondsPerMs) - resolutionMs));
	delays.reset();
	const last = times;
	times = processorTimes();
	try {
		if (lateMs >= listedMs) {
			const [ranMs, waitedMs] = times.map((ms, index) => Math.round(ms - last[index]));
			list({lateMs, ranMs, waitedMs});
		}

		if (lateMs > longest) {
			longest = lateMs;
			writeFileSync(`${process.env.LOOP_PROBE_FILE}.${process.pid}`, String(lateMs));
		}
	} catch {
		// The run's folder was deleted.
	}
}, writeEveryMs).unref();

/** Appends a line to the list of long delays, which begins with the time that Node took before this program. */
function list(line) {
	try {
		appendFileSync(`${process.env.LOOP_PROBE_FILE}.delays`, `${JSON.stringify({until: new Date().toISOString(), pid: process.pid, ...line})}\n`);
	} catch {
		// The run's folder was deleted.
	}
}

/** Time for which the main thread has run, and for which it has waited for a processor, in milliseconds. */
function processorTimes() {
	try {
		const [ran, waited] = readFileSync('/proc/self/schedstat', 'utf8').split(' ');
		return [Number(ran) / nanosecondsPerMs, Number(waited) / nanosecondsPerMs];
	} catch {
		return [0, 0];
	}
}
