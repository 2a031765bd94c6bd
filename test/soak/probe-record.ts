import type {SoakService} from './soak-service.ts';

/** One probe of what an entry has in force. Times are milliseconds since the start of the run. */
export type ProbeRecord = {
	readonly entry: string;
	/** What was asked for: the route that a version added, the one that moves, or one of invalid configurations. */
	readonly asked: {readonly added: number} | 'moved' | 'invalid';
	readonly sentAt: number;
	/** Newest version whose acknowledgement lies so long back that the entry must have it; 0 if it need not have any. */
	readonly due: number;
	/** Newest version of which the entry had shown an effect, in the same run of its process, longer ago than the slack; 0 if none. */
	readonly shown: number;
	/** True if the entry and all control nodes were in touch. */
	readonly calm: boolean;
	/** Newest version that had been sent to any control node when the answer came. */
	newestSent: number;
	/** Status of the answer; absent if there was none. */
	status?: number;
	/** Service whose engine signed the answer. */
	servedBy?: SoakService;
};
