/**
 * Why an attempt of a request is cancelled: `taken-over`: a later one brought an event, the head of a stream or a whole
 * answer; `outrun`: an earlier one did; `overlap-limit`: another one was at work beside it for as long as is allowed;
 * `caller-gone`: nobody waits for the answer; `deadline`: its time is over; `stop`: the entry ends.
 */
export type CancelReason = 'taken-over' | 'outrun' | 'overlap-limit' | 'caller-gone' | 'deadline' | 'stop';
