import test from 'ava';
import type {Millis} from '../../../src/core/ids/millis.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {digestOf} from '../../fixtures/digest-of.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {organisationFixture} from '../../fixtures/organisation-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const vosi = {
	...organisationFixture('vosi', ['k-1']),
	quota: {
		unit: 'requests', perSecond: 0.25, burst: 0, defaultTokens: 0,
	},
} as const;
const known = {keyDigest: digestOf('k-1')};

/** An entry at which two requests of an organisation fit into a window. */
function entryWith({targets = 1} = {}): EdgeHarness {
	const harness = new EdgeHarness({document: {...routesDocumentFixture({version: 1}), organisations: [vosi]}, quotas: {windowMs: 8000, overage: 0.1, slack: 0}});
	harness.feed({
		targets: targets > 0 ? [listedTargetFixture('a')] : [], answers: harness.now as Millis, quotas: {
			entries: 1, silent: 0, ageMs: 0, organisations: [],
		},
	});
	return harness;
}

test('a request over the quota is refused as not run, with a time to come back, and reaches no target', t => {
	const harness = entryWith();
	for (let count = 0; count < 3; count += 1) {
		harness.request(known);
	}

	t.is(harness.starts().length, 2);
	t.like(harness.refusals(), [{reason: 'quota', ran: 'no', reachedTarget: false}]);
	t.true(harness.refusals()[0]!.retryAfterMs! > 7000);
	t.is(harness.core.inFlight, 2);
});

test('a forwarded request is not charged again', t => {
	const harness = entryWith();
	for (let count = 0; count < 4; count += 1) {
		harness.request({organisation: vosi.name, forwarded: {region: toId('winnipeg'), documentVersion: 1}});
	}

	t.is(harness.refusals().length, 0);
});

test('the charge of a request that is refused without having run is refunded', t => {
	const harness = entryWith({targets: 0});
	for (let count = 0; count < 4; count += 1) {
		harness.request({...known, budgetMs: 1});
		harness.now += 100;
		harness.step({type: 'tick'});
	}

	t.deepEqual(harness.refusals().filter(({reason}) => reason === 'quota'), []);
	t.true(harness.refusals().length > 2);
});
