/** Messages of the targets part between processes. */
export type TargetsMessage = {readonly type: 'none'};
