import type {ServerResponse} from 'node:http';
import type {ProblemDocument} from './problem-document.ts';
import {ranHeader} from './ran-header.ts';

/** Sends a problem document, with `Retry-After` in whole seconds (at least 1) if it has `retryAfterMs`. Does nothing if a response was started. */
export function sendProblem(res: ServerResponse, problem: ProblemDocument): void {
	if (res.destroyed || res.headersSent) {
		return;
	}

	const headers: Record<string, string> = {'content-type': 'application/problem+json', [ranHeader]: problem.ran};
	if (problem.retryAfterMs !== undefined) {
		headers['retry-after'] = String(Math.max(1, Math.ceil(problem.retryAfterMs / 1000)));
	}

	res.writeHead(problem.status, headers);
	res.end(JSON.stringify(problem));
}
