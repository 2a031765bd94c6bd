import test, {type ExecutionContext} from 'ava';
import type {AttemptFailure} from '../../../src/core/attempts/attempt-failure.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import type {SoftwareVersion} from '../../../src/core/ids/software-version.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {CoordinatorHarness} from '../../fixtures/attempts/coordinator-harness.ts';

/** Requests of the tests that count retries. */
const requestsInTest = 2000;
const nonRepeatable = {kind: 'call', streamed: false, idempotencyKey: 'order-7'} as const;

test('a complete answer completes its request once, and later events of the attempt are ignored', t => {
	const harness = new CoordinatorHarness();
	harness.targets.add('engine-1');
	const start = harness.request('r1')!;
	harness.end(start.attemptId);
	harness.end(start.attemptId);
	harness.fail(start.attemptId);
	t.is(harness.finalAnswers('r1').length, 1);
	t.is(harness.finalAnswers('r1')[0]!.type, 'complete');
	t.is(harness.outbox.counts.get('stale_messages:attempt'), 2);
	t.is(harness.coordinator.inFlight(), 0);
});

test('a cancelled attempt that ends late does not complete its request', t => {
	const harness = new CoordinatorHarness();
	const lost = harness.targets.add('engine-1');
	harness.targets.add('engine-2');
	const first = harness.request('r1')!;
	harness.advance(5000);
	harness.targets.remove(lost);
	harness.coordinator.targetsLost([lost], harness.now);
	const second = harness.lastStart('r1')!;
	t.deepEqual(harness.cancelled(), []);
	harness.coordinator.attemptFirstByte(second.attemptId, harness.now);
	t.deepEqual(harness.cancelled(), [first.attemptId]);
	harness.end(first.attemptId);
	t.is(harness.finalAnswers('r1').length, 0);
	harness.end(second.attemptId);
	t.like(harness.finalAnswers('r1'), [{type: 'complete', attemptId: second.attemptId}]);
});

test('an unknown route, a missing key and a draining entry are refused', t => {
	const harness = new CoordinatorHarness({settings: {repeatable: false}});
	harness.targets.add('engine-1');
	harness.request('r1', {
		path: {
			firm: 'prairie', deployment: 'print', service: 'proofer', route: 'other',
		},
	});
	t.like(harness.refusal('r1'), {result: 'unknownRoute', ran: 'no'});
	harness.request('r2');
	t.like(harness.refusal('r2'), {result: 'keyMissing', ran: 'no'});
	harness.coordinator.drain();
	harness.request('r3', nonRepeatable);
	t.like(harness.refusal('r3'), {result: 'draining', ran: 'maybe'}, 'an earlier request with this key may have run');
	t.truthy(harness.refusal('r3')!.retryAfterMs);
	t.true(harness.coordinator.drained());
});

test('requests in flight end normally while the entry drains', t => {
	const harness = new CoordinatorHarness();
	harness.targets.add('engine-1');
	const start = harness.request('r1')!;
	harness.coordinator.drain();
	t.false(harness.coordinator.drained());
	harness.end(start.attemptId);
	t.true(harness.coordinator.drained());
});

test('a non-repeatable request is claimed first and never retried after it was sent', t => {
	const harness = new CoordinatorHarness({settings: {repeatable: false}});
	harness.targets.add('engine-1');
	harness.targets.add('engine-2');
	t.is(harness.request('r1', nonRepeatable), undefined);
	harness.resolveClaim('r1', {type: 'granted'});
	harness.fail(harness.lastStart('r1')!.attemptId, {reason: 'reset'});
	t.is(harness.starts('r1').length, 1);
	t.like(harness.refusal('r1'), {result: 'mayHaveRun', ran: 'maybe'});
	t.like(harness.ledger.settled, [{as: 'unknown'}]);
});

test('a non-repeatable request is retried if it was not sent, and its claim is released if it never ran', t => {
	const harness = new CoordinatorHarness({settings: {repeatable: false}});
	harness.targets.add('engine-1');
	harness.targets.add('engine-2');
	harness.request('r1', nonRepeatable);
	harness.resolveClaim('r1', {type: 'granted'});
	harness.fail(harness.lastStart('r1')!.attemptId, {reason: 'connect', notSent: true});
	t.is(harness.starts('r1').length, 2);
	harness.fail(harness.lastStart('r1')!.attemptId, {reason: 'connect', notSent: true});
	t.like(harness.refusal('r1'), {result: 'targetFailed', ran: 'no'});
	t.truthy(harness.refusal('r1')!.retryAfterMs);
	t.like(harness.ledger.settled, [{as: 'released'}]);
});

test('a request whose claim is not granted is not run', t => {
	const harness = new CoordinatorHarness({settings: {repeatable: false}});
	harness.targets.add('engine-1');
	const answer = {status: 200, contentType: 'text/plain', body: 'b2s='};
	const outcomes = [
		['replay', {type: 'replay', answer}, undefined, undefined],
		['progress', {type: 'in-progress', retryAfterMs: 5}, 'inProgress', 'maybe'],
		['may', {type: 'may-have-run'}, 'mayHaveRun', 'maybe'],
		['reused', {type: 'key-reused'}, 'keyReused', 'no'],
		['none', {type: 'unavailable', retryAfterMs: 5, ran: 'maybe'}, 'ledgerUnavailable', 'maybe'],
		['not-run', {type: 'unavailable', retryAfterMs: 5, ran: 'no'}, 'ledgerUnavailable', 'no'],
	] as const;
	for (const [name, outcome, result, ran] of outcomes) {
		harness.request(name, nonRepeatable);
		harness.resolveClaim(name, outcome);
		t.is(harness.finalAnswers(name).length, 1, `${name}`);
		t.is(harness.refusal(name)?.result, result, `${name}`);
		t.is(harness.refusal(name)?.ran, ran, `${name}`);
		t.is(harness.starts(name).length, 0, `${name}`);
	}
});

test('a claim granted after the caller disconnected is released and its request is not run', t => {
	const harness = new CoordinatorHarness({settings: {repeatable: false}});
	harness.targets.add('engine-1');
	harness.request('r1', nonRepeatable);
	harness.coordinator.handleCallerGone(toId('r1'), harness.now);
	harness.resolveClaim('r1', {type: 'granted'});
	t.is(harness.starts('r1').length, 0);
	t.like(harness.ledger.settled, [{as: 'released'}]);
});

test('repeatable work is cancelled when the caller disconnects; other work continues and its answer is kept', t => {
	const harness = new CoordinatorHarness();
	harness.targets.add('engine-1');
	const start = harness.request('r1')!;
	harness.coordinator.handleCallerGone(toId('r1'), harness.now);
	t.deepEqual(harness.cancelled(), [start.attemptId]);
	t.is(harness.targets.outcomes[0]!.outcome.result, 'cancelled');

	const claimed = new CoordinatorHarness({settings: {repeatable: false}});
	claimed.targets.add('engine-1');
	claimed.request('r2', nonRepeatable);
	claimed.resolveClaim('r2', {type: 'granted'});
	claimed.coordinator.handleCallerGone(toId('r2'), claimed.now);
	t.deepEqual(claimed.cancelled(), []);
	claimed.end(claimed.lastStart('r2')!.attemptId);
	t.like(claimed.ledger.settled, [{as: 'done', answer: {status: 200}}]);
});

test('an interrupted stream is resumed only on a target of the software version that began it', t => {
	const harness = new CoordinatorHarness();
	const version = (text: string) => ({softwareVersion: toId<SoftwareVersion>(text)});
	harness.targets.add('engine-1', version('v1'));
	const first = harness.request('r1')!;
	harness.targets.add('engine-2', version('v2'));
	harness.fail(first.attemptId, {passedOn: true, tokens: 40});
	harness.advance(200);
	t.is(harness.starts('r1').length, 1);
	harness.targets.add('engine-3', version('v1'));
	harness.advance(200);
	t.like(harness.lastStart('r1'), {targetId: 'engine-3', resume: true});
});

test('an interrupted stream is resumed only on a target that can resume, and ends as incomplete without one', t => {
	const harness = new CoordinatorHarness();
	harness.targets.add('engine-1');
	harness.targets.add('engine-2', {resumes: false});
	harness.targets.add('engine-3');
	const first = harness.request('r1')!;
	harness.fail(first.attemptId, {passedOn: true, tokens: 40});
	const second = harness.lastStart('r1')!;
	t.is(second.targetId, toId<TargetId>('engine-3'));
	t.true(second.resume);
	t.is(harness.router.queries.at(-1)!.req.outputTokens, 160);
	harness.fail(second.attemptId, {passedOn: true, tokens: 10});
	harness.advance(2000);
	t.is(harness.starts('r1').length, 2, 'no target is tried twice');
	t.is(harness.finalAnswers('r1').length, 0, 'a target to resume on may still join');
	harness.targets.add('engine-1', {incarnation: 2});
	harness.advance(200);
	t.like(harness.lastStart('r1'), {targetId: 'engine-1', resume: true});
	harness.end(harness.lastStart('r1')!.attemptId);
	t.is(harness.finalAnswers('r1')[0]!.type, 'complete');

	const without = new CoordinatorHarness();
	without.targets.add('engine-1');
	without.fail(without.request('r3')!.attemptId, {passedOn: true, tokens: 40});
	without.advance(19_000);
	t.is(without.finalAnswers('r3').length, 0);
	without.advance(1000);
	t.like(without.refusal('r3'), {result: 'incomplete', ran: 'maybe'});
});

test('a target that may have crashed is chosen last, and another broken connection to it reports no crash', t => {
	const harness = new CoordinatorHarness({settings: {targetConcurrency: 1}});
	harness.poison.crashSuspectedTargets.add(harness.targets.add('engine-1'));
	harness.targets.add('engine-2');
	t.is(harness.request('r1')!.targetId, toId<TargetId>('engine-2'));
	const second = harness.request('r2')!;
	t.is(second.targetId, toId<TargetId>('engine-1'));
	harness.fail(second.attemptId, {reason: 'reset'});
	t.is(harness.poison.crashes.length, 0);
	const third = harness.request('r3')!;
	harness.coordinator.attemptFirstByte(third.attemptId, harness.now);
	harness.fail(third.attemptId, {reason: 'reset'});
	t.like(harness.poison.crashes, [{fingerprints: ['content-of-r3']}], 'the target answered, so the crash is a new one');
});

test('a forwarded request is checked against the settings of the receiving entry and never forwarded again', t => {
	const harness = new CoordinatorHarness({settings: {residency: [toId('saskatoon-a')]}});
	harness.targets.add('engine-1');
	harness.membership.addRegion('saskatoon-a', {'entry-5': 1});
	const forwardedBy = {nodeId: toId<never>('entry-9'), region: toId<never>('winnipeg-a'), revision: 1};
	harness.request('r1', {forwardedBy});
	t.like(harness.refusal('r1'), {result: 'residency', ran: 'no'});

	const open = new CoordinatorHarness();
	open.membership.addRegion('saskatoon-a', {'entry-5': 1});
	open.request('r2', {forwardedBy});
	t.is(open.starts('r2').length, 0);
	t.is(open.refusal('r2')!.ran, 'no');
});

test('a peer that refuses without running the request does not count as a run, and its region is not tried again', t => {
	const harness = new CoordinatorHarness({settings: {repeatable: false}});
	harness.membership.addRegion('saskatoon-a', {'entry-5': 1});
	harness.membership.addRegion('winnipeg-a', {'entry-6': 1});
	harness.request('r1', nonRepeatable);
	harness.resolveClaim('r1', {type: 'granted'});
	const first = harness.lastStart('r1')!;
	t.true(first.claimed);
	harness.fail(first.attemptId, {reason: 'refused', refusal: {result: 'residency', ran: 'no'}});
	const second = harness.lastStart('r1')!;
	t.not(second.forwardTo, first.forwardTo);
	harness.end(second.attemptId);
	t.like(harness.ledger.settled, [{as: 'done'}]);
});

test('a forwarded non-repeatable request runs only under the forwarding entry\'s claim', t => {
	const harness = new CoordinatorHarness({settings: {repeatable: false}});
	harness.targets.add('engine-1');
	const forwardedBy = {nodeId: toId<never>('entry-9'), region: toId<never>('winnipeg-a'), revision: 1};
	harness.request('r1', {...nonRepeatable, forwardedBy});
	t.like(harness.refusal('r1'), {result: 'ledgerUnavailable', ran: 'no'});
	harness.request('r2', {...nonRepeatable, forwardedBy: {...forwardedBy, claimed: true}});
	t.is(harness.starts('r2').length, 1);
	t.is(harness.ledger.claims.length, 0);
});

test('waiting requests are dispatched when a target has room, and refused at their deadline', t => {
	const harness = new CoordinatorHarness({settings: {targetConcurrency: 1}});
	harness.targets.add('engine-1');
	const first = harness.request('r1')!;
	harness.request('r2');
	harness.request('r3');
	t.is(harness.starts('r2').length, 0);
	harness.end(first.attemptId);
	t.is(harness.starts('r2').length, 1);
	t.is(harness.starts('r3').length, 0);
	harness.advance(30_000);
	t.like(harness.refusal('r3'), {result: 'deadline', ran: 'no'});
	t.is(harness.finalAnswers('r3').length, 1);
});

test('a waiting request does not block one behind it whose model has a free target', t => {
	const harness = new CoordinatorHarness({settings: {targetConcurrency: 1}});
	harness.targets.add('engine-1', {models: ['draft']});
	harness.targets.add('engine-2', {models: ['check']});
	harness.request('draft-1', {model: 'draft'});
	const check = harness.request('check-1', {model: 'check'})!;
	harness.request('draft-2', {model: 'draft'});
	harness.request('check-2', {model: 'check'});
	harness.end(check.attemptId);
	t.is(harness.starts('check-2').length, 1);
	t.is(harness.starts('draft-2').length, 0);
});

test('a slow answer is not cut off; without a first byte a request fails over if another target can meet the deadline', t => {
	const harness = new CoordinatorHarness();
	harness.targets.add('engine-1');
	harness.targets.add('engine-2');
	const slow = harness.request('slow')!;
	harness.coordinator.attemptFirstByte(slow.attemptId, harness.now);
	const silent = harness.request('silent')!;
	harness.advance(16_000);
	t.is(harness.lastStart('silent')!.targetId, toId<TargetId>('engine-2'));
	t.deepEqual(harness.cancelled(), []);
	harness.coordinator.attemptFirstByte(harness.lastStart('silent')!.attemptId, harness.now);
	t.deepEqual(harness.cancelled(), [silent.attemptId]);
	harness.advance(600_000);
	t.is(harness.starts('slow').length, 1);
	t.false(harness.cancelled().includes(slow.attemptId));
});

test('an attempt on a target that announced that it leaves continues when its lease ends', t => {
	const harness = new CoordinatorHarness();
	const leaving = harness.targets.add('engine-1');
	harness.targets.add('engine-2');
	const start = harness.request('r1')!;
	harness.targets.add('engine-1', {state: 'leaving'});
	harness.advance(5000);
	harness.targets.remove(leaving);
	harness.coordinator.targetsLost([leaving], harness.now);
	t.deepEqual(harness.cancelled(), []);
	t.is(harness.poison.crashes.length, 0);
	harness.end(start.attemptId);
	t.is(harness.finalAnswers('r1')[0]!.type, 'complete');
});

test('a request forwarded to an unreachable region fails over; a non-repeatable one waits for its attempt to end', t => {
	const harness = new CoordinatorHarness();
	const remoteRegion = harness.membership.addRegion('saskatoon-a', {'entry-5': 1});
	const start = harness.request('r1')!;
	t.is(start.deadlineMs, 30_000);
	harness.targets.add('engine-1');
	harness.advance(2000);
	t.deepEqual(harness.cancelled(), []);
	harness.membership.removeRegion(remoteRegion);
	harness.advance(100);
	t.is(harness.lastStart('r1')!.targetId, toId<TargetId>('engine-1'));
	t.deepEqual(harness.cancelled(), []);
	harness.coordinator.attemptFirstByte(harness.lastStart('r1')!.attemptId, harness.now);
	t.deepEqual(harness.cancelled(), [start.attemptId]);

	const claimed = new CoordinatorHarness({settings: {repeatable: false}});
	const region = claimed.membership.addRegion('saskatoon-a', {'entry-5': 1});
	claimed.request('r2', nonRepeatable);
	claimed.resolveClaim('r2', {type: 'granted'});
	claimed.targets.add('engine-1');
	claimed.membership.removeRegion(region);
	claimed.advance(5000);
	t.deepEqual(claimed.cancelled(), []);
	t.is(claimed.starts('r2').length, 1);
});

/** Sends 2,000 requests in 20 s to five targets at which every attempt fails; returns the number of attempts. */
function countAttempts(t: ExecutionContext, failure: Partial<AttemptFailure>): number {
	const harness = new CoordinatorHarness();
	for (let index = 0; index < 5; index++) {
		harness.targets.add(`engine-${index}`);
	}

	let attempts = 0;
	for (let index = 0; index < requestsInTest; index++) {
		harness.now = index * 10 as Millis;
		let start = harness.request(`r${index}`);
		while (start && harness.finalAnswers(`r${index}`).length === 0) {
			attempts++;
			harness.fail(start.attemptId, failure);
			start = harness.lastStart(`r${index}`);
		}

		t.is(harness.refusal(`r${index}`)!.ran, 'no');
	}

	return attempts;
}

test('retries stay within the budget while every target refuses', t => {
	const attempts = countAttempts(t, {reason: 'refused', notSent: true});
	// Retries: a tenth of the requests, two per second for 20 s, and the 20 tokens of a new bucket.
	t.true(attempts <= requestsInTest + 200 + 40 + 20, `${attempts} attempts`);
	t.true(attempts > requestsInTest);
});

test('each target that can\'t be reached costs one attempt', t => {
	t.is(countAttempts(t, {reason: 'connect', notSent: true}), 5);
});

test('forwarded requests are spread over the entries of a region by weight', t => {
	const harness = new CoordinatorHarness({seed: 7});
	harness.membership.addRegion('saskatoon-a', {small: 1, large: 3});
	for (let index = 0; index < 400; index++) {
		harness.request(`r${index}`);
	}

	const large = harness.actions.filter(action => action.type === 'start-attempt' && action.forwardTo === toId<NodeId>('large'));
	t.true(large.length > 260 && large.length < 340, `${large.length} of 400`);
	t.is(harness.coordinator.remoteBytesLastSecond(harness.now), 400 * 1000);
});

test('a suspect starts only with a permit and never on a target that runs another suspect', t => {
	const harness = new CoordinatorHarness();
	const busy = harness.targets.add('engine-1');
	harness.targets.add('engine-2');
	harness.poison.alone.add('odd');
	harness.poison.occupiedTargets.add(busy);
	harness.poison.permitted = false;
	harness.request('r1', {fingerprint: 'odd'});
	harness.advance(200);
	t.is(harness.starts('r1').length, 0);
	harness.poison.permitted = true;
	harness.advance(200);
	t.is(harness.lastStart('r1')!.targetId, toId<TargetId>('engine-2'));
	harness.poison.refused.add('worse');
	harness.request('r2', {fingerprint: 'worse'});
	t.like(harness.refusal('r2'), {result: 'poison', ran: 'no', retryAfterMs: 60_000});
});
