import type {CallRecord} from './call-record.ts';

/** Outcome of one attempt to send a request, without the fields that identify the caller and the request. */
export type CallOutcome = Pick<CallRecord, 'outcome' | 'result' | 'ran' | 'retryAfterMs' | 'detail'>;
