/** Messages of the consensus part between processes. */
export type ConsensusMessage = {readonly type: 'none'};
