import type {ResultName} from '../core/results/result-name.ts';

/** A refusal as callers and operators get it: RFC 9457 with members of our own. */
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
