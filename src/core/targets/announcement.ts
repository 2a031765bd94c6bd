import type {TargetId} from '../ids/target-id.ts';
import type {Zone} from '../ids/zone.ts';

/** What a target says of itself, about once a second. */
export type Announcement = {
	readonly targetId: TargetId;
	/** Start time of the target's process; a restarted target has a higher one. */
	readonly incarnation: number;
	/** Counts announcements of one incarnation. */
	readonly sequence: number;
	readonly firm: string;
	readonly deployment: string;
	readonly service: string;
	/** `ip:port` that takes requests. */
	readonly address: string;
	readonly zone: Zone;
	readonly kind: 'engine' | 'service';
	readonly state: 'serving' | 'leaving';
	readonly models: readonly string[];
	/** Requests that it can work on at once. */
	readonly capacity: number;
	readonly load: {
		readonly running: number;
		readonly queued: number;
		/** Age of these figures when they were sent, in milliseconds. */
		readonly ageMs: number;
	};
	/** Tokens a second that one request gets when alone; absent if not known. */
	readonly tokensPerSecond?: number;
	/** Prompt tokens a second in prefill; absent if not known. */
	readonly prefillTokensPerSecond?: number;
	/** True if it can go on with an answer from a given text. */
	readonly resumes: boolean;
	/** Cache events since the last announcement: a hint, late and with gaps. */
	readonly cache?: {
		readonly firstEvent: number;
		readonly stored: readonly string[];
		readonly removed: readonly string[];
	};
	/** Highest fencing number of an order that it has carried out. */
	readonly fencing?: number;
};
