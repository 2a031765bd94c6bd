import type {Brand} from './brand.ts';

/** `ip:port` of an entry for callers. */
export type EntryAddress = Brand<string, 'EntryAddress'>;
