import {getHeapStatistics} from 'node:v8';
import type {Socket} from 'node:net';
import {HeldBodies} from '../core/memory/held-bodies.ts';
import {HeldBytes} from '../core/memory/held-bytes.ts';
import {HeldConnections} from '../core/memory/held-connections.ts';
import {HeldRequests} from '../core/memory/held-requests.ts';
import type {StateKind} from '../core/memory/state-kind.ts';
import {StateMemory} from '../core/memory/state-memory.ts';
import {constants} from '../settings/constants.ts';
import {descriptorLimit} from './descriptor-limit.ts';
import type {BodyHold} from './body-hold.ts';
import type {MemoryHold} from './memory-hold.ts';
import type {RequestHold} from './request-hold.ts';
import type {TurnedAway} from './turned-away.ts';

type ProcessMemoryOptions = {
	/** Memory that the process may use, in MB; the bounds are proportional to it. @default constants.defaultMemoryMb */
	readonly memoryMb?: number;
	/** Limit of the JavaScript heap, in bytes; the bounds of what lies there are proportional to it, if that is less. @default that of this process */
	readonly heapBytes?: number;
	/** Descriptors that the process may have open. @default what the system allows it */
	readonly descriptors?: number;
	/** Kinds of state that the process keeps for clients. @default all */
	readonly stateKinds?: readonly StateKind[];
	/** Called with each client that is turned away to protect the process. */
	readonly onTurnedAway?: (kind: TurnedAway) => void;
};

/** Bounds on what a process holds of all its requests together, and on the state that it keeps for clients. */
export class ProcessMemory {
	/** Bodies of requests, from their first byte until the request has ended. */
	readonly bodies: HeldBodies<BodyHold>;
	/** Heads that are not whole, and bytes that are read and not parsed yet, by connection. */
	readonly heads: HeldBytes<MemoryHold>;
	/** Requests in progress, with their heads. */
	readonly requests: HeldRequests<RequestHold>;
	/** Parts of answers that are read and not passed on yet. */
	readonly answers: HeldBytes<MemoryHold>;
	/** Whole answers that their callers have not read yet. */
	readonly unread: HeldBytes<MemoryHold>;
	/** Connections that the servers have accepted; the descriptors left are for files, links between processes and connections to targets. */
	readonly connections: HeldConnections<Socket>;
	/** Connections of peers without a link that may be open. */
	readonly maxUnlinked: number;
	/** What is kept beyond the requests, by ids that clients choose. */
	readonly state: StateMemory;
	readonly turnedAway: (kind: TurnedAway) => void;

	constructor({
		memoryMb = constants.defaultMemoryMb,
		heapBytes = getHeapStatistics().heap_size_limit,
		descriptors = descriptorLimit(),
		stateKinds,
		onTurnedAway = () => undefined,
	}: ProcessMemoryOptions = {}) {
		const share = memoryMb / constants.defaultMemoryMb;
		this.bodies = new HeldBodies({maxBytes: share * constants.maxHeldBodyBytes});
		this.heads = new HeldBytes(share * constants.maxHeldHeadBytes);
		this.answers = new HeldBytes(share * constants.maxHeldAnswerBytes);
		this.unread = new HeldBytes(share * constants.maxUnreadAnswerBytes);
		const own = Math.min(constants.maxOwnDescriptors, Math.floor(descriptors / 4));
		this.connections = new HeldConnections(Math.floor((descriptors - own) * constants.acceptedShare));
		this.maxUnlinked = Math.min(constants.maxUnlinkedSessions, Math.floor(own / 4));
		const heapShare = Math.min(share, heapBytes / constants.defaultHeapBytes);
		this.requests = new HeldRequests({maxBytes: heapShare * constants.maxHeldRequestBytes, maxCount: Math.floor((descriptors - own) * constants.requestShare)});
		this.state = new StateMemory({maxBytes: heapShare * constants.maxStateBytes, kinds: stateKinds});
		this.turnedAway = onTurnedAway;
	}
}
