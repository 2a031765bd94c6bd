import test from 'ava';
import {controlTiming} from '../../../src/core/control/control-timing.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';

/** The harness's seed, a control node of its own region. */
const near = toId<NodeId>('10.1.0.1:7104');
const far = toId<NodeId>('10.2.0.1:7104');
const control = [{nodeId: near, region: toId<Region>('regina')}, {nodeId: far, region: toId<Region>('winnipeg')}];

type Answer = 'current' | 'behind' | 'none';

/** An entry that has followed the control node of its region, until that fell silent, and then followed the one of another region. */
function entryAfterLoss(): EdgeHarness {
	const harness = new EdgeHarness();
	harness.feed({control}, near);
	harness.run(controlTiming.feedTimeoutMs + 100);
	return harness;
}

function followed(harness: EdgeHarness): NodeId | undefined {
	return harness.core.status(harness.now as Millis).control;
}

/** Runs with feeds to what the entry asks: the far node answers each status, the near one as given. Returns the longest time without a current feed of the node that is followed, in milliseconds. */
function play(harness: EdgeHarness, ms: number, answer: Answer): number {
	let silentMs = 0;
	let lastFeedAt = harness.now;
	let handled = harness.actions.length;
	for (let waited = 0; waited < ms; waited += 50) {
		harness.run(50);
		const actions = harness.actions.slice(handled);
		handled = harness.actions.length;
		for (const action of actions) {
			if (action.type !== 'send' || action.message.part !== 'control' || action.message.body.type !== 'follow') {
				continue;
			}

			if (action.to === far || answer !== 'none') {
				const current = action.to === far || answer === 'current';
				harness.feed({control, current}, action.to);
				lastFeedAt = current && followed(harness) === action.to ? harness.now : lastFeedAt;
			}
		}

		silentMs = Math.max(silentMs, harness.now - lastFeedAt);
	}

	return silentMs;
}

for (const answer of ['none', 'behind'] as const) {
	test(`an entry stays with a current control node while that of its region is lost or out of date, answer ${answer}`, t => {
		const harness = entryAfterLoss();
		play(harness, 1000, answer);
		t.is(followed(harness), far);
		const silentMs = play(harness, 30_000, answer);
		t.true(silentMs <= 2 * controlTiming.statusIntervalMs, `${silentMs} ms without a current feed`);
	});
}

test('an entry returns to a control node of its region once that is current again', t => {
	const harness = entryAfterLoss();
	play(harness, 1000, 'none');
	play(harness, 2 * controlTiming.avoidFailedNodeMs, 'current');
	t.is(followed(harness), near);
});

test('an entry that starts takes the state of the seed that answers first, though another one was asked first', t => {
	for (const first of [near, far]) {
		const harness = new EdgeHarness({seeds: [near, far], starts: true});
		harness.run(50);
		const asked = harness.actions.flatMap(action => action.type === 'send' ? [action.to] : []);
		t.deepEqual([...new Set(asked)].sort(), [near, far]);
		harness.feed({control}, first);
		t.is(followed(harness), first);
		t.true(harness.core.ready);
		harness.run(50);
		const follows = harness.actions.flatMap(action => {
			const body = action.type === 'send' && action.message.part === 'control' ? action.message.body : undefined;
			return action.type === 'send' && body?.type === 'follow' ? [{to: action.to, once: body.once === true}] : [];
		});
		t.is(follows.filter(({once}) => once).length, 1, 'the others are asked for one feed, not followed');
		t.true(follows.some(({to, once}) => to === first && !once));
	}
});

test('an entry that starts prefers a seed that is current to one that answered before and is not', t => {
	const harness = new EdgeHarness({seeds: [near, far], starts: true});
	harness.run(50);
	harness.feed({control, current: false}, near);
	harness.feed({control, current: true}, far);
	t.is(followed(harness), far);
	harness.feed({control, current: true}, near);
	t.is(followed(harness), far, 'it has a current one already');
});

for (const standstillMs of [1000, 2000, 5000]) {
	test(`an entry that stood still for ${standstillMs} ms stays with its control node, whose feeds wait unread`, t => {
		const harness = new EdgeHarness();
		harness.feed({control}, near);
		harness.run(700);
		harness.now += standstillMs;
		harness.step({type: 'tick'});
		t.is(followed(harness), near);
		harness.feed({control}, near);
		harness.run(controlTiming.feedTimeoutMs);
		t.is(followed(harness), near);
		t.false(harness.actions.some(action => action.type === 'send' && action.to === far), 'no other one was asked');
	});

	test(`a control node that is lost while an entry stands still for ${standstillMs} ms is left within the usual time`, t => {
		const harness = new EdgeHarness();
		harness.feed({control}, near);
		harness.run(200);
		harness.now += standstillMs;
		harness.step({type: 'tick'});
		harness.run(controlTiming.feedTimeoutMs + 50);
		t.is(followed(harness), far);
	});
}
