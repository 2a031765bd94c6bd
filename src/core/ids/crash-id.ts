import type {Brand} from './brand.ts';

/** Identifies the crash of one incarnation of a target. */
export type CrashId = Brand<string, 'CrashId'>;
