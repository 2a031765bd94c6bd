import test from 'ava';
import type {RequestId} from '../../../src/core/ids/request-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

function start({slots = 1} = {}): EdgeHarness {
	const harness = new EdgeHarness({document: routesDocumentFixture({route: {kind: 'unsafe', attempts: 1}})});
	harness.feed({targets: [listedTargetFixture('a', {slots})]});
	return harness;
}

test('a request that is given up for its memory while it waits is refused as not run', t => {
	const harness = start();
	while (harness.actions.filter(({type}) => type === 'start').length === harness.core.inFlight) {
		harness.request();
	}

	const requestId = toId<RequestId>(`r${harness.core.inFlight}`);
	harness.step({type: 'given-up', requestId});
	t.deepEqual(harness.refusals().map(({ran, reason}) => ({ran, reason})), [{ran: 'no', reason: 'overloaded'}]);
	t.true(harness.refusals()[0]!.retryAfterMs! > 0);
});

test('a request that is given up for its memory while a target may run it is cancelled there, and nothing is promised', t => {
	const harness = start();
	harness.request();
	const {attempt} = harness.lastStart();
	const actions = harness.step({type: 'given-up', requestId: toId('r1')});
	t.true(actions.some(action => action.type === 'cancel' && action.attempt === attempt));
	t.deepEqual(harness.refusals().map(({ran}) => ran), ['maybe']);
	t.is(harness.core.inFlight, 0);
	harness.step({type: 'given-up', requestId: toId('r1')});
	t.is(harness.refusals().length, 1);
});

test('a request that is given up for its memory before the entry has routes is refused as not run', t => {
	const harness = new EdgeHarness({starts: true});
	harness.request();
	t.is(harness.core.inFlight, 1);
	harness.step({type: 'given-up', requestId: toId('r1')});
	t.deepEqual(harness.refusals().map(({ran}) => ran), ['no']);
	t.is(harness.core.inFlight, 0);
});
