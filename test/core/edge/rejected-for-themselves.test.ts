import test from 'ava';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const rounds = 40;
const stepMs = 25;

// Guards against a client whose requests lack what targets need, and which so kept everybody else from them.
test('requests that targets reject for what they lack get that answer, and leave the targets to others', t => {
	const harness = new EdgeHarness({document: routesDocumentFixture({route: {kind: 'safe', attempts: 2}})});
	harness.feed({targets: ['a', 'b'].map(name => listedTargetFixture(name))});
	for (let round = 0; round < rounds; round++) {
		harness.request();
		const {attempt} = harness.lastStart();
		harness.head(attempt, {
			status: 400, notRun: true, signed: false, eventStream: false,
		});
		const actions = harness.step({type: 'attempt-end', attempt, truncated: false});
		t.true(actions.some(({type}) => type === 'complete'), 'the answer was not passed on');
		const before = harness.starts().length;
		harness.request();
		t.is(harness.starts().length, before + 1, 'an ordinary call was not sent at once');
		const ordinary = harness.lastStart().attempt;
		harness.head(ordinary, {eventStream: false});
		harness.step({type: 'attempt-end', attempt: ordinary, truncated: false});
		harness.run(stepMs);
	}
});
