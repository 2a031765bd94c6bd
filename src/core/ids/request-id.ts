import type {Brand} from './brand.ts';

/** Identifies one request of a caller inside the whole installation. */
export type RequestId = Brand<string, 'RequestId'>;
