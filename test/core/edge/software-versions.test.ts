import test from 'ava';
import type {Region} from '../../../src/core/ids/region.ts';
import type {ServiceName} from '../../../src/core/ids/service-name.ts';
import type {SoftwareVersion} from '../../../src/core/ids/software-version.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const prompt = {parts: [], promptTokens: 2000, outputTokens: 80};
const desk = toId<ServiceName>('desk');
const v1 = toId<SoftwareVersion>('v1');
const v2 = toId<SoftwareVersion>('v2');

/** A remote region whose targets have the given software versions. */
function remoteRegion(softwareVersions: readonly SoftwareVersion[]) {
	return {
		region: toId<Region>('winnipeg'),
		entries: 1,
		hasPlacers: false,
		relayAddresses: ['10.3.0.9:7101'],
		loads: [{
			service: desk, targets: 2, inFlight: 0, waiting: 0, startMs: 0, extraMs: 0, softwareVersions,
		}],
	};
}

/** An entry of a resumable stream route; its region has targets of the given names and software versions. */
function harnessWith(targets: Readonly<Record<string, SoftwareVersion>>): EdgeHarness {
	const harness = new EdgeHarness({document: routesDocumentFixture({route: {kind: 'stream', resumable: true, attempts: 3}, engine: true})});
	harness.feed({targets: Object.entries(targets).map(([name, softwareVersion]) => listedTargetFixture(name, {softwareVersion}))});
	return harness;
}

/** Passes `count` events of the newest attempt on, then breaks it off. */
function breakOff(harness: EdgeHarness, count: number): void {
	const {attempt} = harness.lastStart();
	harness.head(attempt);
	if (count > 0) {
		harness.step({
			type: 'attempt-events', attempt, count, lastId: String(count),
		});
	}

	harness.step({type: 'attempt-failed', attempt, failure: {reason: 'reset', notSent: false}});
}

test('a broken stream goes on only at a target of the software version that began it', t => {
	const harness = harnessWith({a: v1, b: v2, c: v1});
	harness.request({prompt});
	const began = harness.lastStart().targetId!;
	breakOff(harness, 3);
	const expected = {a: 'c', b: undefined, c: 'a'}[began as string];
	t.deepEqual(harness.starts().slice(1).map(({targetId}) => targetId as string), expected === undefined ? [] : [expected]);
});

test('a broken stream is broken off for its caller if no other target has its software version', t => {
	const harness = harnessWith({a: v1, b: v2});
	harness.request({prompt});
	breakOff(harness, 3);
	t.is(harness.starts().length, 1);
	t.deepEqual(harness.refusals().map(({ran}) => ran), ['maybe']);
});

test('a stream that has brought no event yet may begin at another software version', t => {
	const harness = harnessWith({a: v1, b: v2});
	harness.request({prompt});
	breakOff(harness, 0);
	t.is(harness.starts().length, 2);
});

test('a broken stream is not forwarded to a region without targets of its software version', t => {
	for (const [versions, starts] of [[[v2], 1], [[v1, v2], 2]] as const) {
		const harness = harnessWith({a: v1});
		harness.feed({targets: [listedTargetFixture('a', {softwareVersion: v1})], regions: [remoteRegion(versions)]});
		harness.request({prompt});
		t.is(harness.lastStart().targetId as string, 'a');
		breakOff(harness, 3);
		t.is(harness.starts().length, starts, `region with ${versions.join(' and ')}`);
	}
});

test('a stream that another entry forwards goes on only at the software version that this entry names', t => {
	const harness = harnessWith({a: v1, b: v2});
	const forwarded = {region: toId<Region>('winnipeg'), documentVersion: 1};
	harness.request({prompt, resumeAfter: '3', forwarded: {...forwarded, origin: {service: desk, softwareVersion: v2}}});
	t.is(harness.lastStart().targetId as string, 'b');
	harness.request({prompt, resumeAfter: '3', forwarded: {...forwarded, origin: {service: desk, softwareVersion: toId('v3')}}});
	t.is(harness.starts().length, 1);
	t.deepEqual(harness.refusals().map(({ran}) => ran), ['no']);
});

test('a stream that broke off at another entry goes on here at the software version that the other entry named', t => {
	for (const [softwareVersion, targetId] of [[v2, 'b'], [undefined, undefined]] as const) {
		const harness = harnessWith({});
		harness.feed({regions: [remoteRegion([v1, v2])]});
		harness.request({prompt});
		const {attempt, address} = harness.lastStart();
		t.is(address, '10.3.0.9:7101');
		harness.feed({targets: [listedTargetFixture('a', {softwareVersion: v1}), listedTargetFixture('b', {softwareVersion: v2})]});
		harness.head(attempt, {softwareVersion});
		harness.step({
			type: 'attempt-events', attempt, count: 3, lastId: '3',
		});
		harness.step({type: 'attempt-failed', attempt, failure: {reason: 'reset', notSent: false}});
		t.deepEqual(harness.starts().slice(1).map(start => start.targetId as string | undefined), targetId === undefined ? [] : [targetId]);
	}
});
