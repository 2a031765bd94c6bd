import type {TargetId} from '../../core/ids/target-id.ts';

/** What the system adds to a request that it sends on. */
export type OutgoingHeaderOptions = {
	/** Time that is left for the answer, in milliseconds. */
	readonly deadlineMs: number;
	/** The target that must answer; left out towards another entry. */
	readonly targetId?: TargetId;
	/** 0 to 9, 0 first. */
	readonly urgency: number;
	readonly resumeAfter?: string;
};
