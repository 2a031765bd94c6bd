import type {NodeId} from '../ids/node-id.ts';
import type {Region} from '../ids/region.ts';

/** A control node that entries may follow; `region` is absent until it is known. */
export type ControlPeer = {readonly nodeId: NodeId; readonly region?: Region};
