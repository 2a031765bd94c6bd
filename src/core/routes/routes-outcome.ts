/** Result of an operator's command: `stale` if a newer order about the zone went before it. */
export type RoutesOutcome = {readonly type: 'routes'; readonly result: 'applied' | 'kept' | 'stale'};
