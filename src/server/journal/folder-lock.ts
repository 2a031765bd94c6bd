import {readFile, rm, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {FolderError} from './folder-error.ts';

/** Index of the start time among the fields after the command name in `/proc/<pid>/stat`. */
const startTimeFieldIndex = 19;
/** State of a process that has ended but was not yet reaped by its parent. */
const zombieState = 'Z';

/** Lock on a data folder, so that only one process uses it: a file with the holder's process id and start time. */
export class FolderLock {
	/** @throws FolderError if another live process holds the folder. */
	static async acquire(file: string): Promise<FolderLock> {
		const holder = await readHolder(file);
		if (holder !== undefined && holder.pid !== process.pid && await isAlive(holder)) {
			throw new FolderError({
				result: 'settingsInvalid',
				file,
				problem: `process ${holder.pid} uses the folder`,
				remedy: 'Give each process a data folder of its own',
			});
		}

		const startTime = await readStartTime(process.pid);
		await writeFile(file, JSON.stringify({pid: process.pid, startTime}), {mode: 0o600});
		return new FolderLock(file);
	}

	readonly #file: string;

	private constructor(file: string) {
		this.#file = file;
	}

	async release(): Promise<void> {
		await rm(this.#file, {force: true});
	}
}

type Holder = {readonly pid: number; readonly startTime?: string};

async function readHolder(file: string): Promise<Holder | undefined> {
	try {
		return JSON.parse(await readFile(file, 'utf8')) as Holder;
	} catch {
		return undefined;
	}
}

/** Compares the start time as well, because the process id may have been reused. */
async function isAlive({pid, startTime}: Holder): Promise<boolean> {
	const current = await readStartTime(pid);
	return current !== undefined && current === startTime;
}

async function readStartTime(pid: number): Promise<string | undefined> {
	try {
		const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
		const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
		return fields[0] === zombieState ? undefined : fields[startTimeFieldIndex];
	} catch {
		return undefined;
	}
}
