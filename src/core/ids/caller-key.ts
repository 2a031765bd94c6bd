import type {Brand} from './brand.ts';

/** The caller's own id of a request: at most 64 characters, or a digest; empty if it sent none. */
export type CallerKey = Brand<string, 'CallerKey'>;
