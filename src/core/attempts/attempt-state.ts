import type {AttemptId} from '../ids/attempt-id.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {TargetId} from '../ids/target-id.ts';

/** One attempt that owns its request now. */
export type AttemptState = {
	readonly attemptId: AttemptId;
	readonly requestId: RequestId;
	readonly destination: AttemptDestination;
	readonly startedAt: Millis;
	/** Work that the target table was told of at the start. */
	readonly promptTokens: number;
	readonly cachedTokens: number;
	readonly outputTokens: number;
	/** When a target that could answer sooner is looked for, if no byte came; undefined for never. */
	failoverAt?: Millis;
	/** True if the target seemed to have crashed before the attempt started: a broken connection proves nothing then. */
	readonly crashSuspectedAtStart: boolean;
	/** True once the target said that it is leaving: the end of its lease is no crash then. */
	leaving: boolean;
	firstByteAt?: Millis;
	/** When bytes of the answer were last reported. */
	progressAt?: Millis;
	tokens: number;
	bytes: number;
};

/** Where an attempt runs: a target of this region, or an entry of another one. */
type AttemptDestination =
	| {readonly type: 'target'; readonly targetId: TargetId; readonly incarnation: number}
	| {readonly type: 'peer'; readonly nodeId: NodeId; readonly region: Region};
