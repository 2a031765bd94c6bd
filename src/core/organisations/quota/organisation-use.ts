import type {OrganisationId} from '../../ids/organisation-id.ts';

/**
 * Use of one organisation's quota within one window, in millionths of the quota (rate x window + burst): what was refused for the quota in the newest part of
 * the window, what was sent in the newest half of that part, and what was sent in all, by age in equal parts of the window, the newest first. Trailing zeros are left out.
 */
export type OrganisationUse = readonly [organisation: OrganisationId, refused: number, recent: number, ...used: readonly number[]];
