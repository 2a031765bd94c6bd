import type {PeerProgress} from './peer-progress.ts';

/** Replication state from which a leader derives the next configuration; `learners` are those that answer. */
export type ReplicationProgress = {
	readonly learners: ReadonlyArray<Pick<PeerProgress, 'member' | 'matchIndex'>>;
	readonly lastIndex: number;
	readonly learnerLag: number;
};
