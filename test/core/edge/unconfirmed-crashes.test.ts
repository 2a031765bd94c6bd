import test from 'ava';
import {ActionQueue} from '../../../src/core/action-queue.ts';
import {CrashContainment} from '../../../src/core/edge/crash-containment.ts';
import type {EdgeAction} from '../../../src/core/edge/edge-action.ts';
import {PooledTarget} from '../../../src/core/edge/pooled-target.ts';
import type {CallerKey} from '../../../src/core/ids/caller-key.ts';
import type {ContentFingerprint} from '../../../src/core/ids/content-fingerprint.ts';
import type {CrashId} from '../../../src/core/ids/crash-id.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {RequestId} from '../../../src/core/ids/request-id.ts';
import type {RequestTrait} from '../../../src/core/ids/request-trait.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {StateMemory} from '../../../src/core/memory/state-memory.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {promptPart} from '../../fixtures/prompt-part.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const partCount = 200;
const requests = 80;
const maxTraits = 8192;
const crashedTargets = 100;
const maxReports = 64;
const reportMs = 150;
const resendMs = 1000;

/** The newest report of crashes among the actions in the queue. */
function takeReport(queue: ActionQueue<EdgeAction>) {
	return queue.take().flatMap(action => action.type === 'send' && action.message.part === 'control' && action.message.body.type === 'crashes-seen' ? [action.message.body] : []).at(-1);
}

// Guards against a client that makes an entry forget what another request may be blamed for.
test('the traits of a crash that control has not confirmed are kept when more come, and are bounded', t => {
	const harness = new EdgeHarness({document: routesDocumentFixture({engine: true, route: {kind: 'stream', resumable: false, attempts: 1}})});
	harness.feed({targets: [listedTargetFixture('a', {slots: 64})]});
	for (let index = 1; index <= requests; index++) {
		harness.request({
			prompt: {parts: Array.from({length: partCount}, (_, part) => promptPart(`${index}-${part}`, 1)), promptTokens: partCount, outputTokens: 8},
		});
		harness.step({type: 'attempt-failed', attempt: harness.lastStart().attempt, failure: {reason: 'reset', notSent: false}});
		harness.run(150);
		harness.feed({targets: [], from: 0});
	}

	harness.run(1000);
	const reports = harness.actions.flatMap(action => action.type === 'send' && action.message.part === 'control' && action.message.body.type === 'crashes-seen' ? [action.message.body.reports] : []);
	const traits: readonly string[] = reports.at(-1)!.flatMap(report => report.traits);
	t.true(traits.includes('content:content-1'));
	t.true(traits.includes('part:1-0'));
	t.true(traits.length > 1000 && traits.length <= maxTraits, `${traits.length} traits`);
});

// Guards against the crashes of many targets that push out the one that a fatal request is blamed for.
test('a crash that control has not confirmed is kept when more targets crash, and their number is bounded', t => {
	const queue = new ActionQueue<EdgeAction>(toId('entry-1'));
	const containment = new CrashContainment({
		queue, state: new StateMemory(), primary: () => toId<NodeId>('control-1'), targetCount: () => crashedTargets,
	});
	let now = 0 as Millis;
	for (let index = 0; index < crashedTargets; index++) {
		const target = new PooledTarget(listedTargetFixture(`target-${index}`), {phase: 0}, now);
		containment.recordBreak({
			requestId: toId(`${index}`), callerKey: toId(`key-${index}`), host: 'prairie.example', path: '/drafts/1', fingerprint: toId(`content-${index}`), arrivedAt: now,
		}, target, now);
		now = now + reportMs as Millis;
		containment.tick(now);
	}

	queue.take();
	containment.tick(now + resendMs as Millis);
	const {reports} = takeReport(queue)!;
	t.is(reports.length, maxReports);
	t.is(String(reports[0]!.targetId), 'target-0');
});

// Guards against a trait that is cleared of crashes which the entry learnt of after requests with it were served.
test('the report of a served trait names the crashes that were known at the answer', t => {
	const queue = new ActionQueue<EdgeAction>(toId('entry-1'));
	const containment = new CrashContainment({
		queue, state: new StateMemory(), primary: () => toId<NodeId>('control-1'), targetCount: () => crashedTargets,
	});
	const now = 0 as Millis;
	const trait = toId<RequestTrait>('content:content-1');
	const req = {
		requestId: toId<RequestId>('1'), callerKey: toId<CallerKey>('key-1'), host: 'prairie.example', path: '/drafts/1', fingerprint: toId<ContentFingerprint>('content-1'), arrivedAt: now,
	};
	const learn = (index: number, ...crashes: readonly string[]) => {
		containment.handleFeed({
			type: 'feed', epoch: 'run-1', from: -1, to: 1, targets: [], signs: [], current: true, control: [], stateIndex: 1, regions: [],
			crashes: {index, suspects: [{trait, crashes: crashes.map(name => toId<CrashId>(name)), trials: 0}]},
		}, now);
	};

	learn(1, 'first', 'second');
	containment.recordBreak(req, new PooledTarget(listedTargetFixture('own'), {phase: 0}, now), now);
	containment.tick(now);
	const own = takeReport(queue)!.reports[0]!.crash;
	containment.recordServed(req, now);
	learn(2, 'first', 'second', 'third');
	containment.tick(reportMs as Millis);
	t.like(takeReport(queue), {served: [trait], servedCrashes: [[toId('first'), toId('second'), own]]});
});
