import {HeldBytes} from '../core/memory/held-bytes.ts';
import {constants} from '../settings/constants.ts';
import type {MemoryHold} from './memory-hold.ts';

/** Bounds on what a process holds of all its requests together. */
export class ProcessMemory {
	/** Bodies of requests, from their first byte until the request has ended. */
	readonly bodies: HeldBytes<MemoryHold>;
	/** Parts of answers that are read and not passed on yet. */
	readonly answers: HeldBytes<MemoryHold>;
	/** Whole answers that their callers have not read yet. */
	readonly unread: HeldBytes<MemoryHold>;

	/** @param memoryMb - Memory that the process may use, in MB; the bounds are proportional to it. */
	constructor(memoryMb: number = constants.defaultMemoryMb) {
		const share = memoryMb / constants.defaultMemoryMb;
		this.bodies = new HeldBytes(share * constants.maxHeldBodyBytes);
		this.answers = new HeldBytes(share * constants.maxHeldAnswerBytes);
		this.unread = new HeldBytes(share * constants.maxUnreadAnswerBytes);
	}
}
