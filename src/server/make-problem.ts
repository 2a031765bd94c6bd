import {resultCodes} from '../core/results/result-codes.ts';
import type {Refusal} from '../core/results/refusal.ts';
import type {ProblemDocument} from './problem-document.ts';
import {problemTypePrefix} from './problem-type-prefix.ts';

/** Builds the RFC 9457 problem document for a refusal. */
export function makeProblem(refusal: Refusal, context: {region: string; revision: number}): ProblemDocument {
	const {code, status, title} = resultCodes[refusal.result];
	return {
		type: `${problemTypePrefix}${code}`,
		title,
		status,
		detail: refusal.detail,
		code,
		result: refusal.result,
		ran: refusal.ran,
		region: context.region,
		revision: context.revision,
		retryAfterMs: refusal.retryAfterMs,
	};
}
