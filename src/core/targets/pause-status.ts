/** Status 503, Service Unavailable: with `Retry-After` a target asks for a pause. */
export const pauseStatus = 503;
