import type {CallRecord} from './call-record.ts';

/** What one sending came to, without who sent it. */
export type CallOutcome = Pick<CallRecord, 'outcome' | 'result' | 'ran' | 'retryAfterMs' | 'detail'>;
