import type {StoredDocument} from '../routes/stored-document.ts';

/** Answer to an operator's call; after `unavailable` a change may or may not be applied. */
export type CallAnswer =
	| {readonly type: 'accepted'; readonly index: number}
	| {readonly type: 'document'; readonly document: StoredDocument | undefined}
	| {readonly type: 'unavailable'; readonly reason: string};
