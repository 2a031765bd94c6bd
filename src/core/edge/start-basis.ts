/** Why an entry that starts took its first configuration: a control node in touch with the leader sent it, a majority of the voters had none newer, or no such proof came in time. */
export type StartBasis = 'current' | 'majority' | 'waited';
