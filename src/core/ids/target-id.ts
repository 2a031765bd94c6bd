import type {Brand} from './brand.ts';

/** Identifies a target (an engine or a plain service); chosen by the target itself. */
export type TargetId = Brand<string, 'TargetId'>;
