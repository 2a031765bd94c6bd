import type {ResultName} from '../core/results/result-name.ts';

/** RFC 9457 problem document that callers and operators get for a refusal, with extension members. */
export type ProblemDocument = {
	readonly type: string;
	readonly title: string;
	readonly status: number;
	readonly detail?: string;
	readonly code: number;
	readonly result: ResultName;
	readonly ran: 'no' | 'maybe';
	readonly region: string;
	readonly revision: number;
	readonly retryAfterMs?: number;
};
