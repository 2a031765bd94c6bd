import type {CrashId} from '../ids/crash-id.ts';
import type {RequestTrait} from '../ids/request-trait.ts';
import type {Zone} from '../ids/zone.ts';
import type {CrashReport} from './crash-report.ts';
import type {StoredDocument} from './stored-document.ts';

/** A change of the routes state, as stored in the replicated log: of an operator, or of control nodes that were told of crashes. */
export type RoutesCommand =
	| {readonly type: 'document'; readonly document: StoredDocument}
	/** `basis` is the log index of the zone's last change that the receiving node knew, so that a delayed copy of an older command does not undo a newer one. */
	| {readonly type: 'evacuation'; readonly zone: Zone; readonly active: boolean; readonly basis: number}
	| {readonly type: 'crashes'; readonly reports: readonly CrashReport[]}
	/**
	 * Requests with these traits were answered in full. `crashes` are those of each trait that were known by then, which the leader compares
	 * with those that the trait is blamed for; absent from builds that don't name them.
	 */
	| {readonly type: 'traits-served'; readonly traits: readonly RequestTrait[]; readonly crashes?: ReadonlyArray<readonly CrashId[]>}
	/** Grants trial `number` of a contained trait to the sender. */
	| {readonly type: 'trial'; readonly trait: RequestTrait; readonly number: number}
	/** The targets of these crashes turned out to be alive. */
	| {readonly type: 'crashes-withdrawn'; readonly crashes: readonly CrashId[]};
