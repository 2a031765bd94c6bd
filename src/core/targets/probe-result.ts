import type {TargetId} from '../ids/target-id.ts';

/** The connection for a `ProbeAction` was opened, or could not be. */
export type ProbeResult = {readonly type: 'probe-result'; readonly targetId: TargetId; readonly reachable: boolean};
