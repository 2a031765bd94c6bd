/** Outcome of a charge, with what it was decided on: requests and retries in the window, and the retries allowed in it. */
export type RetryCharge = {readonly granted: boolean; readonly requests: number; readonly retries: number; readonly allowed: number};
