import test from 'ava';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {CoordinatorHarness} from '../../fixtures/attempts/coordinator-harness.ts';

const notReached = {reason: 'connect', notSent: true} as const;
const sibling = toId<NodeId>('entry-2');

/** An entry that has failed to connect to both targets of its region, with another entry beside it. */
function cutOffHarness(): CoordinatorHarness {
	const harness = new CoordinatorHarness({settings: {maxAttempts: 4}});
	harness.targets.add('engine-1');
	harness.targets.add('engine-2');
	harness.membership.addRegion('regina-a', {'entry-1': 1, 'entry-2': 1});
	harness.fail(harness.request('r1')!.attemptId, notReached);
	harness.fail(harness.lastStart('r1')!.attemptId, notReached);
	return harness;
}

test('a request that reaches no target of its region is sent by another entry of the region', t => {
	const harness = cutOffHarness();
	t.is(harness.lastStart('r1')!.forwardTo, sibling);
});

test('once an entry reaches no target, its requests do not try them first', t => {
	const harness = cutOffHarness();
	for (const requestId of ['r2', 'r3']) {
		harness.request(requestId);
		t.deepEqual(harness.starts(requestId).map(({forwardTo}) => forwardTo), [sibling]);
	}
});

test('a request that another entry of the region refuses goes on to another region, and never back', t => {
	const harness = cutOffHarness();
	harness.membership.addRegion('winnipeg-a', {'entry-9': 1});
	harness.request('r2');
	const refusal = {result: 'noTarget', ran: 'no'} as const;
	harness.fail(harness.lastStart('r2')!.attemptId, {reason: 'refused', notSent: true, refusal});
	t.deepEqual(harness.starts('r2').map(({forwardTo}) => forwardTo), [sibling, toId<NodeId>('entry-9')]);
	harness.fail(harness.lastStart('r2')!.attemptId, {reason: 'refused', notSent: true, refusal});
	t.is(harness.starts('r2').length, 2);
	t.like(harness.refusal('r2'), {ran: 'no'});
});

test('a request that was forwarded to an entry that reaches no target is refused as not run', t => {
	const harness = cutOffHarness();
	harness.request('r2', {forwardedBy: {nodeId: sibling, region: toId('regina-a'), revision: 1}});
	t.deepEqual(harness.starts('r2'), []);
	t.like(harness.refusal('r2'), {ran: 'no'});
});

test('an entry uses its targets again once it reaches one', t => {
	const harness = cutOffHarness();
	harness.targets.recordConnection(toId('engine-2'), true, harness.now);
	t.is(harness.request('r2')!.targetId, toId<TargetId>('engine-2'));
});

test('a silent attempt at a target that stays out of reach is replaced through another entry of the region, and blames no request', t => {
	const harness = new CoordinatorHarness();
	const target = harness.targets.add('engine-1');
	harness.membership.addRegion('regina-a', {'entry-1': 1, 'entry-2': 1});
	harness.request('r1');
	harness.targets.recordConnection(target, false, harness.now);
	harness.advance(500);
	t.is(harness.starts('r1').length, 1);
	harness.advance(1000);
	t.is(harness.lastStart('r1')!.forwardTo, sibling);
	t.deepEqual(harness.poison.crashes, []);
});

test('an entry that reaches no target and has no other beside it refuses at once', t => {
	const harness = new CoordinatorHarness();
	harness.targets.add('engine-1');
	harness.membership.addRegion('regina-a', {'entry-1': 1});
	harness.fail(harness.request('r1')!.attemptId, notReached);
	harness.request('r2');
	t.deepEqual(harness.starts('r2'), []);
	t.like(harness.refusal('r2'), {ran: 'no'});
});
