import {HeldBodies} from '../core/memory/held-bodies.ts';
import {HeldBytes} from '../core/memory/held-bytes.ts';
import {constants} from '../settings/constants.ts';
import type {BodyHold} from './body-hold.ts';
import type {MemoryHold} from './memory-hold.ts';
import type {TurnedAway} from './turned-away.ts';

type ProcessMemoryOptions = {
	/** Memory that the process may use, in MB; the bounds are proportional to it. @default constants.defaultMemoryMb */
	readonly memoryMb?: number;
	/** Called with each client that is turned away to protect the process. */
	readonly onTurnedAway?: (kind: TurnedAway) => void;
};

/** Bounds on what a process holds of all its requests together. */
export class ProcessMemory {
	/** Bodies of requests, from their first byte until the request has ended. */
	readonly bodies: HeldBodies<BodyHold>;
	/** Heads that are not whole, and bytes that are read and not parsed yet, by connection. */
	readonly heads: HeldBytes<MemoryHold>;
	/** Parts of answers that are read and not passed on yet. */
	readonly answers: HeldBytes<MemoryHold>;
	/** Whole answers that their callers have not read yet. */
	readonly unread: HeldBytes<MemoryHold>;
	readonly turnedAway: (kind: TurnedAway) => void;

	constructor({memoryMb = constants.defaultMemoryMb, onTurnedAway = () => undefined}: ProcessMemoryOptions = {}) {
		const share = memoryMb / constants.defaultMemoryMb;
		this.bodies = new HeldBodies({maxBytes: share * constants.maxHeldBodyBytes});
		this.heads = new HeldBytes(share * constants.maxHeldHeadBytes);
		this.answers = new HeldBytes(share * constants.maxHeldAnswerBytes);
		this.unread = new HeldBytes(share * constants.maxUnreadAnswerBytes);
		this.turnedAway = onTurnedAway;
	}
}
