import type {Brand} from './brand.ts';

/** Identifies one request of a caller; unique in the installation. */
export type RequestId = Brand<string, 'RequestId'>;
