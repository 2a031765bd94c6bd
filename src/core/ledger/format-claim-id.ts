import type {ClaimId} from './claim-id.ts';

/** A claim's id as a map key. */
export function formatClaimId({coordinator, incarnation, number}: ClaimId): string {
	return `${coordinator}/${incarnation}/${number}`;
}
