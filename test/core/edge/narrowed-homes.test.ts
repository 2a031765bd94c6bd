import test from 'ava';
import type {Region} from '../../../src/core/ids/region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {regionLoadFixture} from '../../fixtures/region-load-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

/** Region of the entry under test, and two others. */
const [regina, saskatoon, winnipeg] = ['regina', 'saskatoon', 'winnipeg'].map(name => toId<Region>(name)) as [Region, Region, Region];

const loadOf = (region: Region) => regionLoadFixture(region, `${region}:7101`);

/** An entry with a request that waits since its service has no target, once another document with these homes is in force. */
function withWaitingRequest({before, after}: {before: readonly Region[]; after: readonly Region[]}): EdgeHarness {
	const harness = new EdgeHarness({document: routesDocumentFixture({version: 1, route: {homes: before}})});
	harness.feed({targets: []});
	harness.request();
	harness.run(200);
	harness.install(routesDocumentFixture({version: 2, route: {homes: after}}), 2);
	harness.run(200);
	return harness;
}

/** Addresses that requests were sent to after a feed. */
function sentAfter(harness: EdgeHarness, feed: Parameters<EdgeHarness['feed']>[0]): readonly string[] {
	harness.feed(feed);
	harness.run(200);
	return harness.starts().map(({address}) => address);
}

test('a request that waits is forwarded outside homes that a newer document sets', t => {
	t.deepEqual(sentAfter(withWaitingRequest({before: [], after: [regina]}), {targets: [], regions: [loadOf(winnipeg)]}), []);
	t.deepEqual(sentAfter(withWaitingRequest({before: [regina, winnipeg], after: [regina, saskatoon]}), {targets: [], regions: [loadOf(winnipeg), loadOf(saskatoon)]}), []);
});

test('a request that waits reaches a target of a region that a newer document excludes', t => {
	t.deepEqual(sentAfter(withWaitingRequest({before: [], after: [saskatoon]}), {targets: [listedTargetFixture('a')]}), []);
	t.deepEqual(sentAfter(withWaitingRequest({before: [regina], after: [saskatoon]}), {targets: [listedTargetFixture('a')]}), []);
});

test('a request that waits is not placed within homes that both documents allow', t => {
	t.deepEqual(sentAfter(withWaitingRequest({before: [regina, winnipeg], after: [regina]}), {targets: [listedTargetFixture('a')]}), ['a:8080']);
	t.deepEqual(sentAfter(withWaitingRequest({before: [regina], after: []}), {targets: [listedTargetFixture('a')]}), ['a:8080']);
});
