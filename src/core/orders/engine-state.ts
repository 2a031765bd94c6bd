import type {TargetId} from '../ids/target-id.ts';

/** What a region's delegate reads back of one engine. */
export type EngineState = {
	readonly targetId: TargetId;
	/** `firm/deployment/service`. */
	readonly service: string;
	readonly models: readonly string[];
	/** True if it had work within the last minute. */
	readonly used: boolean;
	/** Highest fencing number that it has carried out an order of, if it tells. */
	readonly fencing?: number;
};
