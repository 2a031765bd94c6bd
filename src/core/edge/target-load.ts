/** Requests at a target from all callers, as it reports them itself. */
export type TargetLoad = {readonly running: number; readonly waiting: number; readonly slots: number};
