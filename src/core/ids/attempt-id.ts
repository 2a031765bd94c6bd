import type {Brand} from './brand.ts';

/** Identifies one try to have a request answered by one target or peer. */
export type AttemptId = Brand<string, 'AttemptId'>;
