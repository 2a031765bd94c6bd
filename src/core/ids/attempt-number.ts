import type {Brand} from './brand.ts';

/** Identifies one sending of a request inside one entry's run. */
export type AttemptNumber = Brand<number, 'AttemptNumber'>;
