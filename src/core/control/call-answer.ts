import type {StoredDocument} from '../routes/stored-document.ts';

/** Answer to an operator's call; after `unavailable` a change may or may not be applied. `index` is the log index of the command that was decided, if known. */
export type CallAnswer =
	| {readonly type: 'accepted'; readonly index: number | undefined}
	| {readonly type: 'document'; readonly document: StoredDocument | undefined}
	| {readonly type: 'unavailable'; readonly reason: string; readonly index?: number};
