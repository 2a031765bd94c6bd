import test from 'ava';
import type {CallerKey} from '../../../src/core/ids/caller-key.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {regionLoadFixture} from '../../fixtures/region-load-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const timeoutMs = 3000;
const regions = [regionLoadFixture('regina', '10.1.0.9:7101'), regionLoadFixture('winnipeg', '10.2.0.1:7101')];

/** Has each attempt refused as not run, until the request is answered; returns how often it was sent. */
function refuseAll(harness: EdgeHarness, {reachedTarget}: {reachedTarget: boolean}): number {
	let handled = 0;
	for (let ms = 0; ms < timeoutMs; ms += 50) {
		for (const {attempt, targetId} of harness.starts().slice(handled)) {
			handled += 1;
			harness.head(attempt, {
				status: 503, notRun: true, signed: false, ...targetId === undefined && {refusedBy: 'entry', reachedTarget},
			});
		}

		harness.run(50);
	}

	return handled;
}

const chargesOf = ({actions}: EdgeHarness) => actions.filter(action => action.type === 'event' && action.event === 'retry-charged').length;

for (const kind of ['safe', 'unsafe', 'stream'] as const) {
	const document = routesDocumentFixture({route: {kind, timeoutMs}});

	test(`a request that an entry forwards again and again to a full region reaches targets beyond the retry budget: ${kind}`, t => {
		for (const slack of [0, 10, 100]) {
			const harness = new EdgeHarness({document, slack, ratio: 0});
			harness.feed({regions});
			harness.request();
			const forwards = refuseAll(harness, {reachedTarget: true});
			// One more is charged if the request waits for a further one at its end.
			t.true(chargesOf(harness) >= forwards - 1);
			t.true(forwards - 1 <= slack / regions.length);
			t.is(forwards > 2, slack > 0);
			t.like(harness.refusals(), [{ran: 'no'}]);
		}
	});

	test(`a request that an entry forwards again, after it reached no target, is charged to the retry budget all the same: ${kind}`, t => {
		const harness = new EdgeHarness({document, slack: 0, ratio: 0});
		harness.feed({regions});
		harness.request();
		t.true(refuseAll(harness, {reachedTarget: false}) > 1);
		t.is(chargesOf(harness), 0);
	});

	test(`an entry to which a request is forwarded again sends it to two targets that are full without a charge to the retry budget: ${kind}`, t => {
		const harness = new EdgeHarness({document, slack: 10, ratio: 0});
		harness.feed({targets: [listedTargetFixture('a'), listedTargetFixture('b')], regions});
		let sends = 0;
		for (let forward = 1; forward <= 3; forward++) {
			harness.request({callerKey: toId<CallerKey>('key'), forwarded: {region: toId('winnipeg'), documentVersion: 1}});
			sends = refuseAll(harness, {reachedTarget: true});
			t.is(harness.refusals().length, forward);
			// The first send of each forward is charged where it came from.
			t.true(chargesOf(harness) >= sends - forward);
		}

		t.true(sends > 3);
	});
}
