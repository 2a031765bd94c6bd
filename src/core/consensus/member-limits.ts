import type {consensusLimits} from './consensus-limits.ts';

/** Bounds on the memory and messages of one member. */
export type MemberLimits = Readonly<Record<keyof typeof consensusLimits, number>>;
