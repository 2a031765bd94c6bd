import type {OrganisationId} from '../../ids/organisation-id.ts';
import type {OrganisationUse} from './organisation-use.ts';

/** Formats use, in millionths of the quota, for a message. */
export function toUse(organisation: OrganisationId, {refused, recent, used}: {refused: number; recent: number; used: readonly number[]}): OrganisationUse {
	const rounded = used.map(amount => Math.round(amount));
	return [organisation, Math.round(refused), Math.round(recent), ...rounded.slice(0, rounded.findLastIndex(amount => amount !== 0) + 1)];
}
