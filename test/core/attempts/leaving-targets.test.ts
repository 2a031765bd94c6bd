import test from 'ava';
import {TableHarness} from '../../fixtures/attempts/table-harness.ts';

test('a target that says in an answer that it leaves gets requests on, as long as it announces that it serves', t => {
	const harness = new TableHarness();
	harness.announce('engine-1');
	const second = harness.announce('engine-2');
	harness.requests.request('r0');
	harness.say('r0', {leaving: true});
	for (let turn = 1; turn <= 20; turn++) {
		harness.requests.request(`r${turn}`);
		t.deepEqual(harness.sentTo(`r${turn}`), [second]);
		harness.requests.end(harness.requests.lastStart(`r${turn}`)!.attemptId);
		harness.advance(500);
	}
});

test('a retry goes to a target that said that it leaves', t => {
	const harness = new TableHarness();
	harness.announce('engine-1');
	harness.announce('engine-2');
	harness.requests.request('r0');
	harness.say('r0', {leaving: true});
	harness.requests.request('r1');
	harness.requests.fail(harness.requests.lastStart('r1')!.attemptId, {reason: 'reset'});
	t.is(harness.sentTo('r1').length, 1);
});

test('a new incarnation of a target that left gets no requests', t => {
	const harness = new TableHarness();
	const first = harness.announce('engine-1');
	harness.requests.request('r0');
	harness.say('r0', {leaving: true});
	harness.announce('engine-1', {incarnation: 2});
	harness.requests.request('r1');
	t.deepEqual(harness.sentTo('r1'), [first]);
});

test('an answer of a target that said that it leaves is cancelled once its lease ends', t => {
	const harness = new TableHarness();
	const first = harness.announce('engine-1');
	harness.announce('engine-2');
	const {attemptId} = harness.requests.request('r0')!;
	harness.say('r0', {leaving: true});
	harness.advance(1500);
	harness.requests.coordinator.targetsLost([first], harness.requests.now);
	t.deepEqual(harness.requests.cancelled(), []);
	harness.requests.end(attemptId);
	t.like(harness.requests.finalAnswers('r0'), [{type: 'complete'}]);
});

test('an answer of a target that does not leave continues once its lease has ended', t => {
	const harness = new TableHarness();
	const first = harness.announce('engine-1');
	const second = harness.announce('engine-2');
	const {attemptId} = harness.requests.request('r0')!;
	harness.advance(1500);
	harness.requests.coordinator.targetsLost([first], harness.requests.now);
	t.deepEqual(harness.sentTo('r0'), [first, second]);
	t.deepEqual(harness.requests.cancelled(), []);
	harness.requests.coordinator.attemptFirstByte(harness.requests.lastStart('r0')!.attemptId, harness.requests.now);
	t.deepEqual(harness.requests.cancelled(), [attemptId]);
});
