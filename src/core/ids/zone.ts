import type {Brand} from './brand.ts';

/** Name of an availability zone inside a region. */
export type Zone = Brand<string, 'Zone'>;
