import type {ClaimId} from './claim-id.ts';
import type {StoredAnswer} from './stored-answer.ts';

/** A keeper's reply to a claim. */
export type ClaimReply =
	| {readonly type: 'accepted'}
	/** Another claim holds the key. */
	| {readonly type: 'held'; readonly by: ClaimId}
	/** The request ran; `answer` is absent if it is not stored. */
	| {readonly type: 'done'; readonly answer?: StoredAnswer}
	/** The request may have run. */
	| {readonly type: 'unknown'}
	/** The key was claimed with another fingerprint. */
	| {readonly type: 'key-reused'}
	/** The keeper stores its maximum number of keys. */
	| {readonly type: 'full'}
	/** The claim was fenced or released and is refused for good. */
	| {readonly type: 'fenced'};
