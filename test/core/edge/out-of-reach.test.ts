import test from 'ava';
import type {Region} from '../../../src/core/ids/region.ts';
import type {ServiceName} from '../../../src/core/ids/service-name.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {RegionLoad} from '../../../src/core/registry/region-load.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

/** Addresses at which the harness's entry, and the other entries of its region, take forwarded requests. */
const self = '10.1.0.9:7101';
const others = ['10.1.0.21:7101', '10.1.0.22:7101', '10.1.0.23:7101'];

function regionLoad(region: string, relayAddresses: readonly string[]): RegionLoad {
	return {
		region: toId<Region>(region),
		entries: relayAddresses.length,
		hasPlacers: false,
		relayAddresses,
		loads: [{
			service: toId<ServiceName>('desk'), targets: 1, inFlight: 0, waiting: 0, startMs: 0, extraMs: 0,
		}],
	};
}

/** An entry that knows one target, which it can't reach, and other entries of its region. */
function cutOffHarness(): EdgeHarness {
	const harness = new EdgeHarness();
	harness.feed({targets: [listedTargetFixture('a')], regions: [regionLoad('regina', [self, ...others])]});
	harness.step({type: 'probe-result', targetId: toId<TargetId>('a'), reachable: false});
	return harness;
}

/** Answers each forwarded attempt as another entry does that has not run the request; returns the addresses that were tried. */
function refuseAll(harness: EdgeHarness): readonly string[] {
	let handled = 0;
	while (harness.starts().length > handled && handled < 100) {
		const start = harness.starts()[handled]!;
		handled += 1;
		harness.now += 5;
		harness.head(start.attempt, {
			status: 503, notRun: true, signed: false, refusedBy: 'entry',
		});
	}

	return harness.starts().map(({address}) => address);
}

test('a request that every entry of the region refuses is tried once at each, never at its own, and then refused as not run', t => {
	const harness = cutOffHarness();
	harness.request();
	t.deepEqual(refuseAll(harness).toSorted(), others);
	t.deepEqual(harness.refusals().map(({ran}) => ran), ['no']);
});

test('a request that an entry of the region forwarded is not forwarded back into the region', t => {
	const harness = cutOffHarness();
	harness.request({forwarded: {region: toId('regina'), documentVersion: 1}});
	t.deepEqual(harness.starts(), []);
	t.deepEqual(harness.refusals().map(({reason, ran}) => [reason, ran]), [['no-target', 'no']]);
});

test('an entry that reaches no target announces none', t => {
	const harness = cutOffHarness();
	harness.run(600);
	const [status] = harness.actions
		.filter(action => action.type === 'send')
		.map(({message}) => message.part === 'control' && message.body.type === 'follow' ? message.body.status : undefined)
		.filter(body => body !== undefined)
		.slice(-1);
	t.deepEqual(status!.loads, []);
});

/** An entry with an attempt in progress for 450 ms when a connection to its target fails. */
function harnessWithAttempt({objectiveMs}: {objectiveMs: number}): EdgeHarness {
	const harness = new EdgeHarness({document: routesDocumentFixture({route: {objectiveMs}})});
	harness.feed({targets: [listedTargetFixture('a')], regions: [regionLoad('regina', [self, ...others])]});
	harness.request();
	harness.run(450);
	harness.step({type: 'probe-result', targetId: toId<TargetId>('a'), reachable: false});
	return harness;
}

test('an attempt in progress outlasts a lost handshake', t => {
	const harness = harnessWithAttempt({objectiveMs: 1500});
	harness.run(250);
	harness.step({type: 'probe-result', targetId: toId<TargetId>('a'), reachable: true});
	harness.run(1000);
	t.is(harness.starts().length, 1);
});

for (const objectiveMs of [400, 1500]) {
	test(`an attempt at a target that stays out of reach is replaced through another entry of the region, objective ${objectiveMs} ms`, t => {
		const harness = harnessWithAttempt({objectiveMs});
		harness.run(1000);
		t.deepEqual(harness.refusals(), []);
		t.true(others.includes(harness.lastStart().address));
	});
}
