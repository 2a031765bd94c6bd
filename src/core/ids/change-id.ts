import type {Brand} from './brand.ts';

/** Chosen by the operator: makes resending a change idempotent. */
export type ChangeId = Brand<string, 'ChangeId'>;
