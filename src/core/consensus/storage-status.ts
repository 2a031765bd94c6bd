import type {ConsensusStatus} from './consensus-status.ts';
import type {MemberStorage} from './member-storage.ts';

type StorageStatus = Pick<ConsensusStatus, 'term' | 'commitIndex' | 'lastIndex' | 'snapshotIndex' | 'logBytes' | 'voters' | 'wanted' | 'configurationIndex'>;

/** The part of a member's status that its log and its configuration tell. */
export function storageStatus({log, configuration, configurationIndex, term, snapshotIndex}: MemberStorage, commitIndex: number): StorageStatus {
	return {
		term,
		commitIndex,
		lastIndex: log.lastIndex,
		snapshotIndex,
		logBytes: log.size(log.baseIndex, log.lastIndex),
		voters: configuration?.voters.map(voter => voter.nodeId) ?? [],
		wanted: configuration?.wanted ?? [],
		configurationIndex,
	};
}
