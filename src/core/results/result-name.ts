import type {resultCodes} from './result-codes.ts';

/** Name of a numbered result. */
export type ResultName = keyof typeof resultCodes;
