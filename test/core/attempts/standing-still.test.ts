import test from 'ava';
import type {AttemptId} from '../../../src/core/ids/attempt-id.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {CoordinatorHarness} from '../../fixtures/attempts/coordinator-harness.ts';

const eventsEveryMs = 50;
/** How long the process gets no processor time, in milliseconds. */
const stallMs = 2000;

/** Lets events of a stream arrive regularly. */
function passEvents(harness: CoordinatorHarness, attemptId: AttemptId, ms: number): void {
	for (let passed = eventsEveryMs; passed <= ms; passed += eventsEveryMs) {
		harness.advance(eventsEveryMs);
		harness.coordinator.attemptProgress(attemptId, {tokens: passed / eventsEveryMs, bytes: passed}, harness.now);
	}
}

test('a stream whose events arrive regularly is given up after a standstill of this process: its target takes no new connections', t => {
	const harness = new CoordinatorHarness();
	const target = harness.targets.add('engine-1');
	const {attemptId} = harness.request('r1')!;
	harness.targets.add('engine-2');
	harness.targets.recordConnection(target, false, harness.now);
	passEvents(harness, attemptId, 2000);
	harness.standStill(stallMs);
	t.is(harness.starts('r1').length, 1);
	t.deepEqual(harness.cancelled(), []);
	t.is(harness.outbox.counts.get('retries:silence'), undefined);
	passEvents(harness, attemptId, 1000);
	t.is(harness.starts('r1').length, 1);
	harness.advance(1100);
	t.is(harness.lastStart('r1')!.targetId, 'engine-2' as TargetId, 'silence while the process runs still counts');
});

test('a stream whose events arrive regularly is given up after a standstill of this process: its region is unreachable', t => {
	const harness = new CoordinatorHarness();
	const region = harness.membership.addRegion('saskatoon-a', {'entry-5': 1});
	const {attemptId} = harness.request('r1')!;
	harness.targets.add('engine-2');
	passEvents(harness, attemptId, 1000);
	harness.membership.removeRegion(region);
	harness.standStill(stallMs);
	t.is(harness.starts('r1').length, 1);
	t.deepEqual(harness.cancelled(), []);
});

test('streams whose events arrive regularly make suspects after a standstill of this process: the lease of their target ends', t => {
	const harness = new CoordinatorHarness();
	const target = harness.targets.add('engine-1');
	const {attemptId} = harness.request('r1')!;
	harness.targets.add('engine-2');
	passEvents(harness, attemptId, 1000);
	harness.targets.remove(target);
	harness.now = harness.now + stallMs as typeof harness.now;
	harness.coordinator.targetsLost([target], harness.now);
	harness.coordinator.tick(harness.now);
	t.is(harness.starts('r1').length, 1);
	t.deepEqual(harness.cancelled(), []);
	t.deepEqual(harness.poison.crashes, []);
});

test('requests whose first byte is not late fail over after a standstill of this process', t => {
	const harness = new CoordinatorHarness();
	harness.targets.add('engine-1');
	harness.request('r1');
	harness.targets.add('engine-2');
	harness.advance(14_000);
	harness.standStill(stallMs);
	t.is(harness.starts('r1').length, 1);
	harness.advance(1000);
	t.is(harness.starts('r1').length, 2);
});

test('an interrupted answer ends after a standstill of this process, since it waited for a target meanwhile', t => {
	const harness = new CoordinatorHarness();
	harness.targets.add('engine-1');
	harness.fail(harness.request('r1')!.attemptId, {passedOn: true, tokens: 40});
	harness.advance(19_000);
	harness.targets.add('engine-2');
	harness.standStill(stallMs);
	t.deepEqual(harness.finalAnswers('r1'), []);
	harness.advance(200);
	t.like(harness.lastStart('r1'), {targetId: 'engine-2', resume: true});
});
