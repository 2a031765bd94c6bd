import type {Brand} from './brand.ts';

/** Identifies a settings change; chosen by the operator, so that sending the change again is idempotent. */
export type ChangeId = Brand<string, 'ChangeId'>;
