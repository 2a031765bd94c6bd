import type {consensusLimits} from './consensus-limits.ts';

/** Bounds on a member's memory and message sizes; see `consensusLimits`. */
export type MemberLimits = Readonly<Record<keyof typeof consensusLimits, number>>;
