/** Weight of the delay that a request's prefill brings to the requests that run at the target, against its own time. */
export const delayWeight = 4;
