/**
 * Determines which requests may be retried: `safe` calls may run more than once, `unsafe` ones at most once for each
 * request. A `stream` may run again only if its route is resumable.
 */
export type RouteKind = 'safe' | 'unsafe' | 'stream';
