import test from 'ava';
import type {LogView} from '../../../src/core/control/log-view.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {feedFixture} from '../../fixtures/feed-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const nodes = ['1', '2', '3', '4', '5'].map(name => toId<NodeId>(`${name}:7104`));
const voters = ['1', '2', '3', '4', '5'];
/** Time within which a deployment serves again once its machines are back, in milliseconds. */
const recoveryMs = 12_000;

function starting(): EdgeHarness {
	return new EdgeHarness({seeds: nodes, starts: true, document: routesDocumentFixture({version: 0})});
}

/** Sends a feed of a node that is not current; the version of its state is its index. */
function tell(harness: EdgeHarness, node: number, {index, log}: {index: number; log?: Partial<LogView>}): void {
	harness.step(feedFixture(nodes[node]!, {
		current: false,
		stateIndex: index,
		state: {document: {version: index, text: ''}, evacuated: []},
		log: log && {
			member: voters[node]!, lastTerm: 1, lastIndex: index, commitIndex: index, voters, ...log,
		},
	}));
}

function startedBy(harness: EdgeHarness) {
	return harness.actions.flatMap(action => action.type === 'event' && action.event === 'started-without-leader' ? [action.fields] : []);
}

test('an entry that starts is ready at once with a current feed, and logs nothing about its start', t => {
	const harness = starting();
	tell(harness, 1, {index: 3});
	t.false(harness.core.ready);
	harness.feed({stateIndex: 4}, nodes[0]);
	t.true(harness.core.ready);
	t.deepEqual(startedBy(harness), []);
});

test('an entry that starts with control nodes that tell nothing of their logs waits, then takes the newest configuration heard', t => {
	const harness = starting();
	harness.request();
	tell(harness, 0, {index: 3});
	tell(harness, 1, {index: 7});
	tell(harness, 2, {index: 5});
	harness.run(1100);
	t.like(harness.refusals(), [{reason: 'not-configured', ran: 'no'}]);
	harness.run(7000);
	t.false(harness.core.ready);
	harness.run(recoveryMs - 8100);
	t.true(harness.core.ready);
	t.like(startedBy(harness), [{
		basis: 'waited', version: 7, index: 7, control: nodes[1],
	}]);
});

test('an entry that starts is ready once a majority of the voters shows that none has a newer change', t => {
	const harness = starting();
	tell(harness, 0, {index: 3, log: {}});
	tell(harness, 1, {index: 3, log: {}});
	t.false(harness.core.ready);
	tell(harness, 2, {index: 7, log: {}});
	t.true(harness.core.ready);
	t.like(startedBy(harness), [{basis: 'majority', version: 7, heard: 3}]);
});

// Guards against entries that refuse requests until an election, since the last change before a power loss is pending.
test('an entry that starts with a majority of the voters does not wait for the election that decides on pending changes', t => {
	const harness = starting();
	tell(harness, 0, {index: 3, log: {}});
	tell(harness, 1, {index: 3, log: {}});
	tell(harness, 2, {index: 3, log: {lastIndex: 8, pendingIndex: 7}});
	t.true(harness.core.ready);
});

test('an entry that has waited for a majority waits on while its newest log holds a change that no node knows to be accepted', t => {
	const harness = starting();
	tell(harness, 0, {index: 3, log: {}});
	harness.run(1100);
	tell(harness, 0, {index: 3, log: {}});
	tell(harness, 1, {index: 3, log: {}});
	tell(harness, 2, {index: 3, log: {lastIndex: 8, pendingIndex: 7}});
	t.false(harness.core.ready);
	tell(harness, 3, {index: 7, log: {lastIndex: 8, commitIndex: 7}});
	t.true(harness.core.ready);
});

test('a control node that has lost its disk is not counted for what its former one held', t => {
	const harness = starting();
	tell(harness, 0, {index: 3, log: {}});
	tell(harness, 1, {index: 3, log: {}});
	tell(harness, 2, {index: 0, log: {member: '3 anew', voters: [], lastTerm: 0}});
	t.false(harness.core.ready);
});

test('the newest log tells who votes, not those of a majority that was replaced since', t => {
	const harness = starting();
	tell(harness, 0, {index: 3, log: {}});
	tell(harness, 1, {index: 3, log: {}});
	tell(harness, 2, {index: 4, log: {voters: ['3', '4', '5', '6', '7']}});
	t.false(harness.core.ready);
});

test('views of the log from before the last few feeds count no more', t => {
	const harness = starting();
	tell(harness, 0, {index: 3, log: {}});
	tell(harness, 1, {index: 3, log: {}});
	harness.run(2000);
	tell(harness, 2, {index: 3, log: {}});
	t.false(harness.core.ready);
});

test('an entry that runs takes no older configuration from a control node that lags', t => {
	const harness = starting();
	harness.feed({stateIndex: 9, state: {document: {version: 9, text: ''}, evacuated: []}}, nodes[0]);
	tell(harness, 1, {index: 3, log: {}});
	tell(harness, 2, {index: 3, log: {}});
	tell(harness, 3, {index: 3, log: {}});
	harness.run(recoveryMs);
	const taken = harness.actions.flatMap(action => action.type === 'event' && action.event === 'state-taken' ? [action.fields.version] : []);
	t.deepEqual(taken, [9]);
});
