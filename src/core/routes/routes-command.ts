import type {Zone} from '../ids/zone.ts';
import type {StoredDocument} from './stored-document.ts';

/** What operators change of the routes state, as it stands in the replicated log. */
export type RoutesCommand =
	| {readonly type: 'document'; readonly document: StoredDocument}
	/** `basis` is the index of the zone's last order that the receiving node knew: a delayed copy of an older order must not undo a newer one. */
	| {readonly type: 'evacuation'; readonly zone: Zone; readonly active: boolean; readonly basis: number};
