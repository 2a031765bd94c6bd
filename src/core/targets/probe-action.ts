import type {TargetId} from '../ids/target-id.ts';

/** Opens a connection to a target and closes it again; a `ProbeResult` follows. */
export type ProbeAction = {readonly type: 'probe'; readonly targetId: TargetId; readonly address: string};
