import {setImmediate as nextLoopTurn} from 'node:timers/promises';

/** Turns of the event loop after which what has reached a connection has been read: one for its data, one for its end. */
const readTurns = 2;

/** Resolves once what has reached the process's connections by now has been read. */
export async function pendingReads(): Promise<void> {
	for (let turn = 0; turn < readTurns; turn++) {
		await nextLoopTurn(); // eslint-disable-line no-await-in-loop
	}
}
