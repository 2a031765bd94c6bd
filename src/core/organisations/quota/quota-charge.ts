import type {Millis} from '../../ids/millis.ts';
import type {OrganisationId} from '../../ids/organisation-id.ts';

/** What a request was charged, for a refund; `at` is a time of the gate's own clock. */
export type QuotaCharge = {readonly organisation: OrganisationId; readonly cost: number; readonly at: Millis};
