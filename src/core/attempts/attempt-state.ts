import type {AttemptId} from '../ids/attempt-id.ts';
import type {Millis} from '../ids/millis.ts';
import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {SoftwareVersion} from '../ids/software-version.ts';
import type {TargetId} from '../ids/target-id.ts';

/** An attempt in flight; a request has at most one, and one that is kept until that one has taken the request over. */
export type AttemptState = {
	readonly attemptId: AttemptId;
	readonly requestId: RequestId;
	readonly destination: AttemptDestination;
	readonly startedAt: Millis;
	/** Estimated work, as reported to the target table at the start. */
	readonly promptTokens: number;
	readonly cachedTokens: number;
	readonly outputTokens: number;
	/** When to look for a faster target if no byte came, by the runner's `AwakeClock`; undefined for never. */
	failoverAt?: Millis;
	/** True if the target was suspected of a crash before the attempt started: a broken connection proves nothing then. */
	readonly crashSuspectedAtStart: boolean;
	/** True once the target leaves: the end of its lease is not a crash then. */
	leaving: boolean;
	/** True while another attempt may write to the caller: set if it started beside one that was kept. */
	standby: boolean;
	/** True if the answer continues after what the caller got of earlier attempts. */
	readonly resume: boolean;
	/** When to look again for another target than one that is out of reach. */
	failOverAgainAt?: Millis;
	firstByteAt?: Millis;
	/** When the attempt started or last received bytes, by the runner's `AwakeClock`. */
	heardAt: Millis;
	/** Output tokens of the answer so far. */
	tokens: number;
	/** Bytes of the answer so far. */
	bytes: number;
};

/** Where an attempt runs: on a target of this region, or through an entry of another region. */
type AttemptDestination =
	| {readonly type: 'target'; readonly targetId: TargetId; readonly incarnation: number; readonly softwareVersion?: SoftwareVersion}
	| {readonly type: 'peer'; readonly nodeId: NodeId; readonly region: Region};
