import type {NodeId} from '../ids/node-id.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {SuspectDigest} from './suspect-digest.ts';

/** Messages between nodes about requests suspected of crashing targets. */
export type PoisonMessage =
	/** The sender's records of suspects; `relay` asks the receiver to forward them to the peers of its region. */
	| {readonly type: 'suspects'; readonly relay: boolean; readonly suspects: readonly SuspectDigest[]}
	/** A node that has just started asks for the receiver's records. */
	| {readonly type: 'suspects-wanted'}
	/** Acknowledges records of suspects by version. */
	| {readonly type: 'suspects-known'; readonly known: ReadonlyArray<{readonly fingerprint: string; readonly version: number}>}
	/** Requests the exclusive right to run a suspect; `relay` asks the receiver to ask the peers of its region before it replies. */
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
		/** The replying node's record of the suspect. */
		readonly suspect?: SuspectDigest;
	}
	/** A suspect runs on a target; resent at intervals while it does. `relay` asks the receiver to forward it to the peers of its region. */
	| {readonly type: 'permit-held'; readonly holder: NodeId; readonly fingerprint: string; readonly targetId: TargetId; readonly relay: boolean}
	| {readonly type: 'permit-released'; readonly holder: NodeId; readonly fingerprint: string; readonly relay: boolean};
