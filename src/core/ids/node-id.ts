import type {Brand} from './brand.ts';

/** Identifies one process of the system; unique in a whole installation, given by its settings. */
export type NodeId = Brand<string, 'NodeId'>;
