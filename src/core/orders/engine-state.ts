import type {TargetId} from '../ids/target-id.ts';

/** State of one engine as its region's delegate reports it to the leader. */
export type EngineState = {
	readonly targetId: TargetId;
	/** `firm/deployment/service`. */
	readonly service: string;
	readonly models: readonly string[];
	/** True if it had running or queued work within the last minute. */
	readonly used: boolean;
	/** Highest fencing number of an order that the engine carried out, if it announces one. */
	readonly fencing?: number;
};
