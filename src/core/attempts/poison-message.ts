import type {NodeId} from '../ids/node-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {SuspectDigest} from './suspect-digest.ts';

/** Messages about suspected poison requests between processes. */
export type PoisonMessage =
	/** What the sender knows of suspects; `relay` asks the receiver to tell its own region. */
	| {readonly type: 'suspects'; readonly relay: boolean; readonly suspects: readonly SuspectDigest[]}
	/** A node that was just started asks for what others know. */
	| {readonly type: 'suspects-wanted'}
	| {readonly type: 'suspects-known'; readonly known: ReadonlyArray<{readonly fingerprint: string; readonly version: number}>}
	/** Asks for the exclusive right to run a suspect; `relay` asks the receiver to ask its own region first. */
	| {
		readonly type: 'permit-request';
		readonly permitId: string;
		readonly holder: NodeId;
		readonly targetId: TargetId;
		readonly relay: boolean;
		readonly suspect: SuspectDigest;
	}
	| {
		readonly type: 'permit-reply';
		readonly permitId: string;
		readonly fingerprint: string;
		readonly granted: boolean;
		/** What the replying node knows of the suspect. */
		readonly suspect?: SuspectDigest;
	}
	/** A suspect runs on a target; renewed while it does. */
	| {readonly type: 'permit-held'; readonly holder: NodeId; readonly fingerprint: string; readonly targetId: TargetId; readonly relay: boolean}
	| {readonly type: 'permit-released'; readonly holder: NodeId; readonly fingerprint: string; readonly relay: boolean};
