import type {Brand} from './brand.ts';

/** Identifies one attempt to run a request at a target or to forward it to a peer; used with `GatewayCore`. */
export type AttemptId = Brand<string, 'AttemptId'>;
