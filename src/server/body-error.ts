import type {ResultName} from '../core/results/result-name.ts';

/** The body of a request is too large, too slow or malformed, the process holds too many bodies, or the caller closed the connection. */
export class BodyError extends Error {
	readonly result: ResultName;

	constructor(result: 'tooLarge' | 'slowCaller' | 'malformed' | 'callerGone' | 'overloaded', detail: string) {
		super(detail);
		this.name = 'BodyError';
		this.result = result;
	}
}
