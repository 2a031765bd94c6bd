import {readFileSync} from 'node:fs';

const nanosecondsPerMs = 1e6;

/** Time that the main thread of a process ran and that it waited for a processor, in milliseconds; undefined where the system doesn't say. */
export function processorTime(pid: number): {ranMs: number; waitedMs: number} | undefined {
	try {
		const [ran = Number.NaN, waited = Number.NaN] = readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(' ').map(Number);
		return {ranMs: ran / nanosecondsPerMs, waitedMs: waited / nanosecondsPerMs};
	} catch {
		return undefined;
	}
}
