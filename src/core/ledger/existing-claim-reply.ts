import type {ClaimRecord} from './claim-record.ts';
import type {ClaimReply} from './claim-reply.ts';

/** A keeper's reply to a claim of a key that already has another claim. */
export function existingClaimReply(known: ClaimRecord, fingerprint: string): ClaimReply {
	if (known.fingerprint !== fingerprint) {
		return {type: 'key-reused'};
	}

	switch (known.state) {
		case 'done': {
			return {type: 'done', answer: known.answer};
		}

		case 'unknown': {
			return {type: 'unknown'};
		}

		case 'claimed': {
			return {type: 'held', by: known.claimId};
		}
	}
}
