import test from 'ava';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';

// Guards against an allowance that grows with connections that targets refuse, which bring no arrival.
test('connections that targets refuse add to the retry budget', t => {
	const harness = new EdgeHarness({slack: 0, ratio: 0.5});
	harness.feed({targets: ['a', 'b', 'c', 'd'].map(name => listedTargetFixture(name))});
	harness.request();
	for (let refused = 0; refused < 2; refused++) {
		harness.step({type: 'attempt-failed', attempt: harness.lastStart().attempt, failure: {reason: 'connect', notSent: true}});
	}

	harness.head(harness.lastStart().attempt, {status: 500});
	const charged = harness.actions.filter(action => action.type === 'event' && action.event === 'retry-charged');
	// One request allows half a retry.
	t.deepEqual(charged.map(action => action.type === 'event' && action.fields), []);
});
