import type {ResultName} from '../core/results/result-name.ts';

/** A request whose body cannot be taken. */
export class BodyError extends Error {
	readonly result: ResultName;

	constructor(result: 'tooLarge' | 'slowCaller' | 'malformed' | 'callerGone', detail: string) {
		super(detail);
		this.name = 'BodyError';
		this.result = result;
	}
}
