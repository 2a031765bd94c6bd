import type {LoadedJournal} from '../common/loaded-journal.ts';
import type {Outbox} from '../common/outbox.ts';
import type {Configuration} from './configuration.ts';
import {ConfigurationHistory} from './configuration-history.ts';
import type {ConsensusRecord} from './consensus-record.ts';
import {DurableWrites} from './durable-writes.ts';
import type {MemberLimits} from './member-limits.ts';
import type {LogEnd} from './log-end.ts';
import type {LogEntry} from './log-entry.ts';
import type {LogMember} from './log-member.ts';
import type {LogSnapshot} from './log-snapshot.ts';
import {memberKey} from './member-key.ts';
import {RaftLog} from './raft-log.ts';

/**
 * Persistent state of a member: term and vote, group, entries and snapshot. Changes apply in memory at once;
 * answers that depend on them wait for the journal's sync.
 */
export class MemberStorage {
	readonly log = new RaftLog();
	readonly writes: DurableWrites;
	readonly #limits: MemberLimits;
	readonly #configurations = new ConfigurationHistory();
	#term = 0;
	#votedFor: string | undefined;
	#group = '';
	#promisedVoters: readonly LogMember[] | undefined;
	#founder = false;
	#snapshotIndex = 0;
	/** Snapshot read from the journal at start, until `takeLoadedSnapshot` is called. */
	#loadedSnapshot: LogSnapshot | undefined;
	#recordedCommitIndex = 0;
	#syncedIndex = 0;
	#syncedTerm = 0;
	/** Size of the entries applied since the snapshot, in bytes. */
	#appliedBytes = 0;

	constructor(loadedJournal: LoadedJournal<ConsensusRecord>, outbox: Outbox, limits: MemberLimits) {
		this.#limits = limits;
		this.writes = new DurableWrites(outbox);
		for (const record of loadedJournal.records) {
			this.#replay(record);
		}

		this.#syncedIndex = this.log.lastIndex;
		this.#syncedTerm = this.#term;
	}

	get term(): number {
		return this.#term;
	}

	get votedFor(): string | undefined {
		return this.#votedFor;
	}

	get group(): string {
		return this.#group;
	}

	/** Voters that were proposed for the group, if this member has promised to join it with them. */
	get promisedVoters(): readonly LogMember[] | undefined {
		return this.#promisedVoters;
	}

	/** True for a member that may form the first group; kept across restarts until the first snapshot, when the log is no longer empty. */
	get founder(): boolean {
		return this.#founder;
	}

	get snapshotIndex(): number {
		return this.#snapshotIndex;
	}

	/** Index up to which the log is synced to disk. */
	get syncedIndex(): number {
		return this.#syncedIndex;
	}

	/** True if the current term and its vote are synced to disk. */
	get termSynced(): boolean {
		return this.#syncedTerm === this.#term;
	}

	/** Highest index recorded as committed in the journal. */
	get recordedCommitIndex(): number {
		return this.#recordedCommitIndex;
	}

	/** The configuration in force: the newest one in the log. */
	get configuration(): Configuration | undefined {
		return this.#configurations.latest;
	}

	get configurationIndex(): number {
		return this.#configurations.latestIndex;
	}

	/** True if the log has neither entries nor a snapshot. */
	get empty(): boolean {
		return this.log.lastIndex === 0;
	}

	configurationAt(index: number): Configuration | undefined {
		return this.#configurations.at(index);
	}

	/** What this member holds beyond its commit index. */
	logEnd(self: LogMember, commitIndex: number): LogEnd {
		const {lastTerm, lastIndex} = this.log;
		return {
			member: memberKey(self),
			lastTerm,
			lastIndex,
			uncommitted: this.log.slice(commitIndex + 1),
			voters: this.configuration?.voters.map(voter => memberKey(voter)) ?? [],
		};
	}

	takeLoadedSnapshot(): LogSnapshot | undefined {
		const snapshot = this.#loadedSnapshot;
		this.#loadedSnapshot = undefined;
		return snapshot;
	}

	setVote(term: number, votedFor: string | undefined): void {
		this.#term = term;
		this.#votedFor = votedFor;
		this.writes.append(this.#voteRecord());
		this.writes.whenSynced(() => {
			this.#syncedTerm = Math.max(term, this.#syncedTerm);
		});
	}

	setFounder(): void {
		this.#founder = true;
		this.writes.append({type: 'founder'});
	}

	setGroup(group: string, voters?: readonly LogMember[]): void {
		this.#group = group;
		this.#promisedVoters = voters;
		this.writes.append({type: 'group', group, voters});
	}

	append(entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			this.#appendInMemory(entry);
		}

		this.writes.append({type: 'entries', entries});
		this.#trackSyncedIndex(entries.at(-1)!);
	}

	truncate(from: number): void {
		this.#truncateInMemory(from);
		this.#syncedIndex = Math.min(from - 1, this.#syncedIndex);
		this.writes.append({type: 'truncation', from});
	}

	/** Records the commit index in the journal; nothing waits for this write. */
	recordCommitIndex(index: number): void {
		if (index > this.#recordedCommitIndex) {
			this.#recordedCommitIndex = index;
			this.writes.append({type: 'commit', index});
		}
	}

	/** Counts an applied entry; returns true if a new snapshot is due. */
	countApplied(entry: LogEntry): boolean {
		this.#appliedBytes += this.log.size(entry.index - 1, entry.index);
		const count = entry.index - this.#snapshotIndex;
		return count >= this.#limits.snapshotEntries || this.#appliedBytes >= this.#limits.snapshotBytes;
	}

	/** Replaces the journal of a log without applied entries; returns the token of the write. */
	rewriteUnapplied(): number {
		const founder: readonly ConsensusRecord[] = this.#founder ? [{type: 'founder'}] : [];
		const entries = this.log.slice(1);
		return this.writes.rewrite([
			this.#voteRecord(),
			...founder,
			{type: 'group', group: this.#group, voters: this.#promisedVoters},
			...(entries.length > 0 ? [{type: 'entries', entries} as const] : []),
		]);
	}

	/** Replaces the journal's entries up to an applied index with a snapshot of the state at that index; returns the token of the write. */
	compact(index: number, state: unknown): number {
		const snapshot = {
			index, term: this.log.term(index)!, configuration: this.configurationAt(index)!, state,
		};
		this.#snapshotIndex = index;
		this.#recordedCommitIndex = Math.max(index, this.#recordedCommitIndex);
		const token = this.#rewrite(snapshot);
		this.log.compact(this.#compactionIndex(index));
		this.#configurations.compact(this.log.baseIndex);
		return token;
	}

	/** Installs a leader's snapshot; entries after it are kept only if the log matches it at its index. */
	install(snapshot: LogSnapshot): void {
		const {index, term, configuration} = snapshot;
		if (this.log.term(index) === term) {
			this.log.compact(index);
			this.#configurations.compact(index);
		} else {
			this.log.reset(index, term);
			this.#configurations.reset(index, configuration);
		}

		this.#snapshotIndex = index;
		this.#recordedCommitIndex = Math.max(index, this.#recordedCommitIndex);
		this.#syncedIndex = Math.min(this.log.lastIndex, this.#syncedIndex);
		this.#rewrite(snapshot);
		this.#trackSyncedIndex({index, term});
	}

	/** Advances the synced index to an entry once all writes so far are synced, unless the entry is truncated before. */
	#trackSyncedIndex({index, term}: {index: number; term: number}): void {
		this.writes.whenSynced(() => {
			if (this.log.term(index) === term) {
				this.#syncedIndex = Math.max(index, this.#syncedIndex);
			}
		});
	}

	#rewrite(snapshot: LogSnapshot): number {
		this.#appliedBytes = 0;
		return this.writes.rewrite([
			this.#voteRecord(),
			{type: 'group', group: this.#group},
			{type: 'snapshot', snapshot},
			{type: 'entries', entries: this.log.slice(snapshot.index + 1)},
			{type: 'commit', index: this.#recordedCommitIndex},
		]);
	}

	/** Index up to which entries are dropped from memory; those after it spare slightly lagging members a snapshot. */
	#compactionIndex(index: number): number {
		const {keptEntries, keptBytes} = this.#limits;
		let first = index;
		while (first > this.log.baseIndex && index - first < keptEntries && this.log.size(first - 1, index) <= keptBytes) {
			first -= 1;
		}

		return first;
	}

	#appendInMemory(entry: LogEntry): void {
		this.log.append(entry);
		this.#configurations.append(entry);
	}

	#truncateInMemory(from: number): void {
		this.log.truncate(from);
		this.#configurations.truncate(from);
	}

	#voteRecord(): ConsensusRecord {
		return {type: 'vote', term: this.#term, votedFor: this.#votedFor};
	}

	#replay(record: ConsensusRecord): void {
		switch (record.type) {
			case 'vote': {
				this.#term = record.term;
				this.#votedFor = record.votedFor;
				return;
			}

			case 'founder': {
				this.#founder = true;
				return;
			}

			case 'group': {
				this.#group = record.group;
				this.#promisedVoters = record.voters;
				return;
			}

			case 'entries': {
				for (const entry of record.entries) {
					this.#appendInMemory(entry);
				}

				return;
			}

			case 'truncation': {
				this.#truncateInMemory(record.from);
				return;
			}

			case 'commit': {
				this.#recordedCommitIndex = record.index;
				return;
			}

			case 'snapshot': {
				const {index, term, configuration} = record.snapshot;
				this.#loadedSnapshot = record.snapshot;
				this.#snapshotIndex = index;
				this.log.reset(index, term);
				this.#configurations.reset(index, configuration);
			}
		}
	}
}
