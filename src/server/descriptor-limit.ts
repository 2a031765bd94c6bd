import {readFileSync} from 'node:fs';

/** Descriptors that a process may have open where the system doesn't tell. */
const defaultLimit = 4096;

/** Number of descriptors that this process may have open, as the system limits it. */
export function descriptorLimit(): number {
	try {
		const soft = /^Max open files\s+(?<soft>\d+)/mv.exec(readFileSync('/proc/self/limits', 'utf8'));
		return soft === null ? defaultLimit : Number(soft.groups!.soft);
	} catch {
		return defaultLimit;
	}
}
