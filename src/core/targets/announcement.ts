import type {SoftwareVersion} from '../ids/software-version.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Zone} from '../ids/zone.ts';

/** Message in which a target announces its address, models and load, about once a second. */
export type Announcement = {
	readonly targetId: TargetId;
	/** Start time of the target's process; higher after a restart. */
	readonly incarnation: number;
	/** Counts the announcements of one incarnation. */
	readonly sequence: number;
	readonly firm: string;
	readonly deployment: string;
	readonly service: string;
	/** `ip:port` for requests. */
	readonly address: string;
	readonly zone: Zone;
	readonly kind: 'engine' | 'service';
	readonly state: 'serving' | 'leaving';
	readonly models: readonly string[];
	/** Number of requests that it can run concurrently. */
	readonly capacity: number;
	readonly load: {
		readonly running: number;
		readonly queued: number;
		/** Age of these figures when they were sent, in milliseconds. */
		readonly ageMs: number;
	};
	/** Decode speed of a single request with no others running, in tokens per second; absent if not known. */
	readonly tokensPerSecond?: number;
	/** Prefill speed in prompt tokens per second; absent if not known. */
	readonly prefillTokensPerSecond?: number;
	/** True if it can continue an answer from text that was already generated. */
	readonly resumes: boolean;
	/** Version of its software, not of its models. Targets that name different ones do not resume each other's answers. */
	readonly softwareVersion?: SoftwareVersion;
	/** KV cache events since the last announcement; they may be late and have gaps. */
	readonly cache?: {
		/** Number of the first of these events. */
		readonly firstEvent: number;
		readonly stored: readonly string[];
		readonly removed: readonly string[];
	};
	/** Highest fencing number among the orders that it has executed. */
	readonly fencing?: number;
};
