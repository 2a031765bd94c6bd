import type {Brand} from './brand.ts';

/** Digest of a request's content: requests with the same one ask for the same. */
export type ContentFingerprint = Brand<string, 'ContentFingerprint'>;
