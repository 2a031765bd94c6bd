/** Result of a command: `kept` if it changes nothing, `stale` if a newer command for the zone, or the same trial, was applied before it. */
export type RoutesOutcome = {readonly type: 'routes'; readonly result: 'applied' | 'kept' | 'stale'};
