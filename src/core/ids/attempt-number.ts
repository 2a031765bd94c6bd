import type {Brand} from './brand.ts';

/** Identifies one attempt to run a request; unique within one run of an entry's process; used with `EdgeCore`. */
export type AttemptNumber = Brand<number, 'AttemptNumber'>;
