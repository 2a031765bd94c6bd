/** Who opens connections to a server of a process: callers, other entries that forward requests, operators and targets, callers that look up addresses, or checks of its state. */
export type ConnectionKind = 'callers' | 'entries' | 'operators' | 'directory' | 'status';
