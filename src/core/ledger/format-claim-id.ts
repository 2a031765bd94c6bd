import type {ClaimId} from './claim-id.ts';

/** Formats a claim's id as a string, used as a map key. */
export function formatClaimId({coordinator, incarnation, number}: ClaimId): string {
	return `${coordinator}/${incarnation}/${number}`;
}
