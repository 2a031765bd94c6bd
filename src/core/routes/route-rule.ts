import type {Region} from '../ids/region.ts';
import type {ServiceName} from '../ids/service-name.ts';
import type {RouteKind} from './route-kind.ts';

/** One route of the routes document: which requests it matches and how they are handled. */
export type RouteRule = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: RouteKind;
	/** Longest time to the end of the answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Latency objective for the answer, or for the first event of a stream, in milliseconds. */
	readonly objectiveMs: number;
	/** Longest pause between two events of a stream that meets the objective, in milliseconds. */
	readonly gapMs: number;
	/** Priority of waiting requests; 0 is the most urgent. */
	readonly priority: number;
	readonly split: ReadonlyArray<{readonly service: ServiceName; readonly weight: number}>;
	/** Most targets on which one request may run. */
	readonly attempts: number;
	/** True if a broken stream may be resumed at another target, after the last event that was passed on. */
	readonly resumable: boolean;
	/** True if its requests need no key where the document has organisations. */
	readonly isOpen: boolean;
	/** Regions that may serve the route; empty for all. */
	readonly homes: readonly Region[];
};
