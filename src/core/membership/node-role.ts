/** Role of a process: `entry` serves callers, `control` holds a replica of the settings log. */
export type NodeRole = 'entry' | 'control';
