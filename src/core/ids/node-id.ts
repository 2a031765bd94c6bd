import type {Brand} from './brand.ts';

/** Identifies one process of the system; unique in the installation, set in its settings file. */
export type NodeId = Brand<string, 'NodeId'>;
