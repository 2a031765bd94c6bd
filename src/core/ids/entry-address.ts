import type {Brand} from './brand.ts';

/** `ip:port` where callers reach an entry. */
export type EntryAddress = Brand<string, 'EntryAddress'>;
