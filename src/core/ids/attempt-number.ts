import type {Brand} from './brand.ts';

/** Identifies one attempt to run a request; unique within one run of an entry's process. */
export type AttemptNumber = Brand<number, 'AttemptNumber'>;
