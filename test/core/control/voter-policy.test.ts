import test from 'ava';
import {VoterPolicy} from '../../../src/core/control/voter-policy.ts';
import type {GroupView} from '../../../src/core/consensus/group-view.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';

type Learner = GroupView['learners'][number];

const tolerated = 1;
const self = toId<NodeId>('a');
const names = (text: string) => [...text].map(name => toId<NodeId>(name));

type ViewOptions = {
	readonly wanted?: string;
	readonly voters?: string;
	readonly silent?: string;
	readonly learners?: ReadonlyArray<Partial<Learner> & {readonly name: string}>;
};

/** Voters `a` to `c`, all of which answer but the `silent` ones, with the nodes `wanted` to vote and further learners. */
function groupView({voters = 'abc', wanted = voters, silent = '', learners = []}: ViewOptions): GroupView {
	return {
		configurationCommitted: true,
		wanted: names(wanted),
		voters: names(voters).map((nodeId, position) => ({nodeId, silentMs: silent.includes(nodeId) ? 2000 + position : 0, hasAnswered: true})),
		learners: learners.map(({name, ...learner}) => ({
			nodeId: toId<NodeId>(name), silentMs: 0, caughtUp: true, ...learner,
		})),
	};
}

const nextChange = (view: GroupView) => new VoterPolicy(tolerated).nextChange(view, self);

// Guards against a node that was to vote, has gone and keeps all others from voting.
test('a standby that goes before it votes is withdrawn, known to the leader or not', t => {
	t.deepEqual(nextChange(groupView({wanted: 'abcd'})), {type: 'remove', nodeId: toId('d'), reason: 'standby-gone'});
	t.deepEqual(nextChange(groupView({wanted: 'abcd', learners: [{name: 'd', silentMs: 2000}]})), {type: 'remove', nodeId: toId('d'), reason: 'standby-gone'});
});

test('a standby that answers and has not caught up is waited for, unless another one is ready', t => {
	const behind = {name: 'd', caughtUp: false};
	t.is(nextChange(groupView({wanted: 'abcd', learners: [behind]})), undefined);
	t.is(nextChange(groupView({wanted: 'abcd', learners: [behind, {name: 'e', silentMs: 2000}]})), undefined);
	t.deepEqual(nextChange(groupView({wanted: 'abcd', learners: [behind, {name: 'e'}]})), {type: 'remove', nodeId: toId('d'), reason: 'standby-late'});
});

test('a standby that has caught up is left to vote', t => {
	t.is(nextChange(groupView({wanted: 'abcd', learners: [{name: 'd'}, {name: 'e'}]})), undefined);
});

// Guards against a voter that is replaced by one that has gone before it.
test('a node that no longer answers is not added, however far its log goes', t => {
	t.is(nextChange(groupView({wanted: 'ab', learners: [{name: 'd', silentMs: 2000}]})), undefined);
	t.deepEqual(nextChange(groupView({wanted: 'ab', learners: [{name: 'd', silentMs: 2000}, {name: 'e'}]})), {type: 'add', nodeId: toId('e'), reason: 'too-few-voters'});
});

// Guards against a group that needs one more node for its majority than it was planned with.
test('once a silent voter is back, the node that came in its place is a standby again', t => {
	t.deepEqual(nextChange(groupView({voters: 'abcd', silent: 'b'})), {type: 'remove', nodeId: toId('b'), reason: 'surplus'});
	t.deepEqual(nextChange(groupView({voters: 'abcd'})), {type: 'remove', nodeId: toId('d'), reason: 'surplus'});
	t.deepEqual(nextChange(groupView({voters: 'bcda'})), {type: 'remove', nodeId: toId('d'), reason: 'surplus'});
	t.deepEqual(nextChange(groupView({voters: 'abcd', wanted: 'dcba'})), {type: 'remove', nodeId: toId('b'), reason: 'surplus'});
});

test('the voter that has been silent longest is replaced in one change, once a standby is ready', t => {
	t.deepEqual(nextChange(groupView({silent: 'bc', learners: [{name: 'd'}]})), {
		type: 'replace', nodeId: toId('d'), leaving: toId('c'), reason: 'silent-voter',
	});
	t.is(nextChange(groupView({silent: 'bc', learners: [{name: 'd', caughtUp: false}]})), undefined);
	t.is(nextChange(groupView({learners: [{name: 'd'}]})), undefined);
});
