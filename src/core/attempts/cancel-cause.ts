/**
 * Why an attempt of a request is cancelled: `taken-over`: its successor brought the first byte or event that it had to;
 * `overlap-limit`: its successor was at work beside it for as long as is allowed; `outrun`: the attempt that it was to
 * succeed goes on; `replaced`: it is not kept beside its successor; `suspect`: its request may not run twice at once;
 * `caller-gone`: nobody waits for the answer.
 */
export type CancelCause = 'taken-over' | 'overlap-limit' | 'outrun' | 'replaced' | 'suspect' | 'caller-gone';
