import type {ServerResponse} from 'node:http';
import {abortResponse} from './abort-response.ts';
import {MemoryHold} from './memory-hold.ts';
import type {ProcessMemory} from './process-memory.ts';

/** Counts what a caller has not read yet of a whole answer; if callers leave too much unread, the connection with most is aborted. */
export function holdUnread(res: ServerResponse, {unread, turnedAway}: ProcessMemory): void {
	if (res.writableFinished || res.destroyed || res.writableLength === 0) {
		return;
	}

	const hold = new MemoryHold(unread, () => {
		turnedAway('unread-answer');
		abortResponse(res);
	});
	res.once('close', () => {
		hold.close();
	});
	hold.set(res.writableLength);
}
