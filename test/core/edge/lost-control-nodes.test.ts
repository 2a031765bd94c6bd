import test from 'ava';
import type {ControlPeer} from '../../../src/core/control/control-peer.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';

/** Time within which an accepted change must be in force, in milliseconds. */
const applyMs = 3000;
const tickMs = 50;

type Answer = {readonly current: boolean; readonly control: readonly ControlPeer[]};

/** Control nodes by their names; those without an answer are lost. */
type Nodes = Readonly<Record<string, Answer | undefined>>;

function node(name: string): NodeId {
	return toId(`${name}:7104`);
}

/** The entry's own region is `regina`. */
function peer(name: string, region = 'regina'): ControlPeer {
	return {nodeId: node(name), region: toId<Region>(region)};
}

/** Runs while each node answers the entry's statuses as given; returns the longest time without a current feed, of any node, in milliseconds. */
function play(harness: EdgeHarness, ms: number, nodes: Nodes): number {
	let longestMs = 0;
	let currentAt = harness.now;
	let handled = harness.actions.length;
	for (let waited = 0; waited < ms; waited += tickMs) {
		harness.run(tickMs);
		const actions = harness.actions.slice(handled);
		handled = harness.actions.length;
		for (const action of actions) {
			const answer = action.type === 'send' && action.message.part === 'control' && action.message.body.type === 'follow' ? nodes[action.to.split(':', 1)[0]!] : undefined;
			if (answer !== undefined && action.type === 'send') {
				harness.feed({...answer}, action.to);
				currentAt = answer.current ? harness.now : currentAt;
			}
		}

		longestMs = Math.max(longestMs, harness.now - currentAt);
	}

	return longestMs;
}

function followed(harness: EdgeHarness): NodeId | undefined {
	return harness.core.status(harness.now as Millis).control;
}

test('an entry whose seeds are replaced finds the other control nodes once the one that it follows is cut off from them', t => {
	const seeds = [node('old-1'), node('old-2'), node('old-3')];
	const control = [peer('new-1'), peer('new-2', 'winnipeg'), peer('new-3', 'saskatoon')];
	const answer = {current: true, control};
	const harness = new EdgeHarness({seeds});
	play(harness, 1000, {'old-1': answer, 'old-2': answer, 'old-3': answer});
	play(harness, 10_000, {'new-1': answer, 'new-2': answer, 'new-3': answer});
	t.is(followed(harness), node('new-1'));
	// A node that hears from no other one lists itself only.
	const cutOff = {current: false, control: [peer('new-1')]};
	const others = {current: true, control: control.slice(1)};
	const silentMs = play(harness, 30_000, {'new-1': cutOff, 'new-2': others, 'new-3': others});
	t.true(silentMs <= applyMs, `${silentMs} ms without a current feed`);
});

for (const lost of [['1', '2'], ['1', '3'], ['2', '4'], ['1', '2', '5']]) {
	test(`an entry gets a current feed in time though its seeds are gone and control nodes ${lost.join(', ')} fail`, t => {
		const harness = new EdgeHarness({seeds: [node('old-1'), node('old-2'), node('old-3')]});
		const control = ['1', '2', '3', '4', '5'].map((name, index) => peer(name, index < 2 ? 'regina' : 'winnipeg'));
		const answer = {current: true, control};
		const nodes = Object.fromEntries(control.map(({nodeId}) => [nodeId.split(':', 1)[0]!, answer]));
		play(harness, 1000, {'old-1': answer, 'old-2': answer, 'old-3': answer});
		play(harness, 10_000, nodes);
		const first = followed(harness)!.split(':', 1)[0]!;
		const silentMs = play(harness, 30_000, {...nodes, [first]: undefined, ...Object.fromEntries(lost.map(name => [name, undefined]))});
		t.true(silentMs <= applyMs, `${silentMs} ms without a current feed`);
	});
}

test('the status and the log of an entry tell that its control node answers and is out of date', t => {
	const harness = new EdgeHarness();
	const control = [peer('10.1.0.1')];
	play(harness, 1000, {'10.1.0.1': {current: true, control}});
	play(harness, 10_000, {'10.1.0.1': {current: false, control}});
	const {controlSilentMs, controlOutdatedMs} = harness.core.status(harness.now as Millis);
	t.true(controlSilentMs < applyMs);
	t.true(controlOutdatedMs > applyMs);
	const taken = harness.actions.find(action => action.type === 'event' && action.event === 'state-taken');
	t.true(taken?.type === 'event' && taken.fields.current === true);
});

test('an entry that stood still keeps the control node whose feeds waited meanwhile', t => {
	const harness = new EdgeHarness();
	const control = [peer('10.1.0.1'), peer('far', 'winnipeg')];
	const answer = {current: true, control};
	play(harness, 2000, {'10.1.0.1': answer, far: answer});
	t.is(followed(harness), node('10.1.0.1'));
	harness.now += 5000;
	harness.step({type: 'tick'});
	harness.feed({control, from: 3}, node('10.1.0.1'));
	t.is(followed(harness), node('10.1.0.1'));
	t.true(play(harness, 2000, {'10.1.0.1': answer}) <= applyMs);
	t.is(followed(harness), node('10.1.0.1'));
});

test('an entry that starts with a seed that is out of date gets a current feed in time though the other seeds and a further node are lost', t => {
	const harness = new EdgeHarness({seeds: [node('1'), node('2'), node('3')], starts: true});
	const control = ['1', '2', '3', '4', '5'].map(name => peer(name));
	const outdated = {current: false, control};
	const silentMs = play(harness, 20_000, {1: outdated, 5: {current: true, control}});
	t.true(silentMs <= applyMs, `${silentMs} ms without a current feed`);
});
