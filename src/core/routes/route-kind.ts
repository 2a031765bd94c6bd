/**
 * What may be repeated: `safe` calls may run more than once, `unsafe` ones at most once for each request;
 * a `stream` may run again only if its route says that streams can be resumed.
 */
export type RouteKind = 'safe' | 'unsafe' | 'stream';
