import type {RequestRecord} from './request-record.ts';

/** Work of a request: the number of its tokens, or 1 for a call of a plain service. Only requests of one service are compared by it. */
export function workOf({req: {prompt}}: Pick<RequestRecord, 'req'>): number {
	return prompt === undefined ? 1 : prompt.promptTokens + prompt.outputTokens;
}
