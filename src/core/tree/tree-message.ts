/** Messages of the tree part between processes. */
export type TreeMessage = {readonly type: 'none'};
