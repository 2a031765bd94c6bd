import type {Zone} from '../ids/zone.ts';
import type {StoredDocument} from './stored-document.ts';

/** An operator's change of the routes state, as stored in the replicated log. */
export type RoutesCommand =
	| {readonly type: 'document'; readonly document: StoredDocument}
	/** `basis` is the log index of the zone's last change that the receiving node knew, so that a delayed copy of an older command does not undo a newer one. */
	| {readonly type: 'evacuation'; readonly zone: Zone; readonly active: boolean; readonly basis: number};
