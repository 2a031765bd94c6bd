import os from 'node:os';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import process from 'node:process';
import type {ManagedProcess} from './managed-process.ts';
import {processorTime} from './processor-time.ts';

const resolutionMs = 20;
const nanosecondsPerMs = 1e6;

const ownDelays = monitorEventLoopDelay({resolution: resolutionMs});
ownDelays.enable();

/** One line that tells what the machine did to the processes of a run, to be printed when it fails; it excuses nothing. */
export function describeMachine(processes: Iterable<readonly [string, ManagedProcess]>): string {
	const ownTime = processorTime(process.pid);
	const named = [...processes].map(([name, managed]) => ({name, ...managed.machineTimes()}));
	const lines = [
		...named,
		{
			name: 'the test', ranMs: ownTime?.ranMs, waitedMs: ownTime?.waitedMs, lateMs: Math.max(0, (ownDelays.max / nanosecondsPerMs) - resolutionMs),
		},
	].map(({name, ranMs, waitedMs, lateMs}) => `${name} ran ${format(ranMs)}, waited for a processor ${format(waitedMs)}, event loop late by up to ${format(lateMs)}`);
	return `machine: ${os.availableParallelism()} processors, load ${os.loadavg().map(load => load.toFixed(1)).join(' ')}; ${lines.join('; ')}`;
}

function format(ms: number | undefined): string {
	return ms === undefined ? 'unknown' : `${Math.round(ms)} ms`;
}
