/** Messages about suspected poison requests between processes. */
export type PoisonMessage = {readonly type: 'none'};
