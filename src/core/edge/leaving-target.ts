import type {TargetId} from '../ids/target-id.ts';

/** An incarnation of a target that has said that it leaves; `born` is the start of its process. */
export type LeavingTarget = {readonly targetId: TargetId; readonly born: number};
