import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {ConsensusMessage} from '../../../src/core/consensus/consensus-message.ts';
import type {ConsensusRecord} from '../../../src/core/consensus/consensus-record.ts';
import type {LogEntry} from '../../../src/core/consensus/log-entry.ts';
import {memberKey} from '../../../src/core/consensus/member-key.ts';
import {RaftMember} from '../../../src/core/consensus/raft-member.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {StorageId} from '../../../src/core/ids/storage-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {SystemState} from '../../../src/core/tree/system-state.ts';
import {RecordingOutbox} from '../../fixtures/recording-outbox.ts';

type Body = ConsensusMessage['body'];

const names = ['c1', 'c2', 'c3'].map(name => toId<NodeId>(name));
const voters = names.map(nodeId => ({nodeId, storageId: toId<StorageId>(`${nodeId}-disk`)}));

const lead = (index: number, term: number): LogEntry => ({index, term, content: {type: 'command', command: {type: 'lead', nodeId: 'c2'}}});

/** Member c1 after a restart: its log holds an entry of term 2 that may or may not be committed. */
function restartMember() {
	const records: ConsensusRecord[] = [
		{type: 'group', group: 'g'},
		{type: 'vote', term: 3},
		{
			type: 'entries', entries: [
				{index: 1, term: 1, content: {type: 'configuration', configuration: {voters, wanted: names}}},
				{index: 2, term: 2, content: {type: 'command', command: {type: 'lead', nodeId: 'c2'}}},
			],
		},
	];
	const outbox = new RecordingOutbox();
	const member = new RaftMember({
		self: names[0]!,
		storageId: voters[0]!.storageId,
		initialMembers: names,
		loadedJournal: {status: 'intact', records},
		state: new SystemState(),
		outbox,
		random: new SeededRandom(1),
	});
	const sync = (now: number) => {
		for (const {token} of outbox.takeWrites()) {
			member.written(token, now as Millis);
		}
	};

	const receive = (from: number, body: Body, now: number) => {
		member.handle(names[from - 1]!, {group: 'g', storageId: voters[from - 1]!.storageId, body}, now as Millis);
	};

	/** Ticks every 50 ms from `from` to `to`. */
	const run = (from: number, to: number) => {
		for (let now = from; now <= to; now += 50) {
			member.tick(now as Millis);
		}
	};

	const sent = (type: Body['type']) => outbox.takeSent().map(({message}) => (message.body as ConsensusMessage).body).filter(body => body.type === type);
	return {
		member, outbox, sync, receive, run, sent,
	};
}

const append: Body = {
	type: 'append', term: 3, previousIndex: 2, previousTerm: 2, entries: [], commit: 1, sentAt: 5,
};

test('a vote is sent only after its sync, and granted only once in a term', t => {
	const {receive, run, sync, sent} = restartMember();
	run(0, 1100);
	const vote: Body = {
		type: 'vote', pre: false, term: 4, lastIndex: 2, lastTerm: 2,
	};
	receive(2, vote, 1150);
	t.deepEqual(sent('vote-answer'), []);
	sync(1151);
	t.like(sent('vote-answer'), [{granted: true, term: 4}]);
	receive(3, vote, 1152);
	sync(1153);
	t.like(sent('vote-answer'), [{granted: false, term: 4}]);
});

// Guards against votes and entries that are confirmed though their write failed, and forgotten by a restart.
test('after a failed write nothing is answered until the journal is rewritten with the vote and the entries', t => {
	const {member, outbox, receive, run, sent} = restartMember();
	member.tick(0 as Millis);
	receive(2, {...append, entries: [lead(3, 3)]}, 10);
	run(50, 1100);
	receive(2, {
		type: 'vote', pre: false, term: 4, lastIndex: 3, lastTerm: 3,
	}, 1150);
	outbox.takeWrites();
	sent('append-answer');
	member.writeFailed('no space left', 1501 as Millis);
	member.writeFailed('no space left', 1502 as Millis);
	member.tick(1600 as Millis);
	receive(3, {...append, term: 4, entries: [lead(3, 4)]}, 1700);
	t.deepEqual([outbox.takeSent(), outbox.takeWrites()], [[], []]);
	t.is(member.leader(), names[2]);
	member.tick(2500 as Millis);
	member.tick(2600 as Millis);
	const writes = outbox.takeWrites();
	t.deepEqual(writes.map(({rewrite}) => rewrite), [true]);
	t.deepEqual(outbox.takeSent(), []);
	const records = writes[0]!.records as ConsensusRecord[];
	t.like(records.find(({type}) => type === 'vote'), {term: 4, votedFor: memberKey(voters[1]!)});
	t.is(records.flatMap(record => record.type === 'entries' ? record.entries.map(({index}) => index) : []).at(-1), 3);
	member.written(writes[0]!.token, 2601 as Millis);
	const answers = outbox.takeSent().map(({to, message}) => ({to, body: (message.body as ConsensusMessage).body}));
	t.like(answers, [{to: names[1], body: {type: 'vote-answer', granted: true, term: 4}}]);
	t.is(member.status().problem, undefined);
});

test('entries are acknowledged only after their sync', t => {
	const {receive, sync, sent} = restartMember();
	receive(2, {...append, entries: [lead(3, 3)]}, 10);
	t.like(sent('append-answer'), [{ok: true, index: 2}]);
	sync(11);
	t.like(sent('append-answer'), [{ok: true, index: 3}]);
});

test('an entry that replaces a synced one does not count as synced', t => {
	const {receive, sync, sent} = restartMember();
	receive(2, {...append, entries: [lead(3, 3)]}, 10);
	sync(11);
	receive(3, {...append, term: 4}, 20);
	sync(21);
	sent('append-answer');
	receive(3, {...append, term: 4, entries: [lead(3, 4)]}, 30);
	t.like(sent('append-answer'), [{ok: true, index: 2}]);
	sync(31);
	t.like(sent('append-answer'), [{ok: true, index: 3}]);
});

test('a member that just started, or just heard from a leader, grants no vote', t => {
	const vote: Body = {
		type: 'vote', pre: true, term: 4, lastIndex: 9, lastTerm: 3,
	};
	const {member, receive, run, sync, sent} = restartMember();
	receive(3, vote, 900);
	t.like(sent('vote-answer'), [{granted: false}]);
	receive(2, append, 950);
	sync(951);
	run(1000, 1900);
	receive(3, vote, 1900);
	receive(3, {...vote, pre: false}, 1900);
	sync(1901);
	t.like(sent('vote-answer'), [{granted: false}]);
	t.is(member.status().term, 3);
	receive(3, vote, 2000);
	t.like(sent('vote-answer'), [{granted: true}]);
});

test('a leader commits an entry of an earlier term only with one of its own term', t => {
	const {member, receive, run, sync} = restartMember();
	run(0, 5000);
	receive(2, {
		type: 'vote-answer', pre: true, term: 4, granted: true,
	}, 5010);
	sync(5020);
	receive(2, {
		type: 'vote-answer', pre: false, term: 4, granted: true,
	}, 5030);
	t.is(member.status().role, 'leader');
	sync(5040);
	const answer: Body = {
		type: 'append-answer', term: 4, ok: true, index: 2, previousIndex: 2, sentAt: 5030,
	};
	receive(2, answer, 5050);
	t.is(member.status().commitIndex, 0);
	receive(2, {...answer, index: 3}, 5060);
	t.is(member.status().commitIndex, 3);
});

test('a message for another data folder or from another group is ignored', t => {
	const {member, sync, sent} = restartMember();
	const from = names[1]!;
	const {storageId} = voters[1]!;
	member.handle(from, {
		group: 'g', storageId, to: toId<StorageId>('former-disk'), body: append,
	}, 10 as Millis);
	member.handle(from, {group: 'other', storageId, body: append}, 20 as Millis);
	sync(30);
	t.deepEqual(sent('append-answer'), []);
	t.is(member.leader(), undefined);
});

function snapshotMessage(index: number, term: number): Body {
	const text = JSON.stringify({
		index, term, configuration: {voters, wanted: names}, state: new SystemState().snapshot(),
	});
	return {
		type: 'snapshot', term: 3, index, offset: 0, total: text.length, text, sentAt: 5,
	};
}

test('a late snapshot neither drops acknowledged entries after it nor reverts the state', t => {
	const {member, receive, sync, sent} = restartMember();
	receive(2, {...append, entries: [lead(3, 3), lead(4, 3), lead(5, 3)]}, 10);
	sync(11);
	t.like(sent('append-answer').at(-1), {ok: true, index: 5});
	receive(2, snapshotMessage(3, 3), 20);
	sync(21);
	t.like(member.status(), {commitIndex: 3, lastIndex: 5});
	receive(2, {
		...append, previousIndex: 5, previousTerm: 3, commit: 5,
	}, 30);
	t.is(member.status().commitIndex, 5);
	receive(2, snapshotMessage(4, 3), 40);
	sync(41);
	t.like(member.status(), {commitIndex: 5, lastIndex: 5});
});

test('an uncommitted configuration is dropped with its truncated entry', t => {
	const {member, receive, sync} = restartMember();
	const added = {voters: [...voters, {nodeId: toId<NodeId>('c4'), storageId: toId<StorageId>('c4-disk')}], wanted: names};
	receive(2, {...append, entries: [{index: 3, term: 3, content: {type: 'configuration', configuration: added}}]}, 10);
	t.is(member.status().voters.length, 4);
	receive(3, {...append, term: 4, entries: [lead(3, 4)]}, 20);
	sync(21);
	t.is(member.status().voters.length, 3);
	t.is(member.leader(), names[2]);
});
