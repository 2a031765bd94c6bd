import type {Brand} from './brand.ts';

/** SHA-256 of a caller's key, in lower-case hexadecimal. The core and documents in memory hold digests only, never keys. */
export type KeyDigest = Brand<string, 'KeyDigest'>;
