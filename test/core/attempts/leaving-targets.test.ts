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
