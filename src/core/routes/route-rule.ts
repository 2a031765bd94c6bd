import type {Region} from '../ids/region.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {RouteKind} from './route-kind.ts';

/** One route of the routes document: which requests it takes and how they are handled. */
export type RouteRule = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: RouteKind;
	/** Longest time that a request is kept waiting for its whole answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Latency objective of the answer, for streams of the first event, in milliseconds. */
	readonly objectiveMs: number;
	/** Longest pause between two events of a stream within the objective, in milliseconds. */
	readonly gapMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly split: ReadonlyArray<{readonly service: ServiceName; readonly weight: number}>;
	/** Targets that one request may be sent to at most. */
	readonly attempts: number;
	/** True if a broken stream may go on at another target after the last event that was passed on. */
	readonly resumable: boolean;
	/** Regions that may serve the route; empty for all. */
	readonly homes: readonly Region[];
};
