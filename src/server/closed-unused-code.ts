/** Error code of a new connection that was closed before anything was sent on it. */
export const closedUnusedCode = 'ERR_CLOSED_UNUSED';
