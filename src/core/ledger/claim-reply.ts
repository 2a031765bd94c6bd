import type {ClaimId} from './claim-id.ts';
import type {StoredAnswer} from './stored-answer.ts';

/** A keeper's answer to a claim. */
export type ClaimReply =
	| {readonly type: 'accepted'}
	/** Another claim holds the key. */
	| {readonly type: 'held'; readonly by: ClaimId}
	| {readonly type: 'done'; readonly answer?: StoredAnswer}
	| {readonly type: 'unknown'}
	| {readonly type: 'key-reused'}
	/** The keeper keeps as many keys as it may. */
	| {readonly type: 'full'}
	/** The claim was refused for good. */
	| {readonly type: 'fenced'};
