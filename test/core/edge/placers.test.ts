import test from 'ava';
import {EdgeRegion} from '../../../bench/edge-region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import type {ServiceName} from '../../../src/core/ids/service-name.ts';
import type {RegionLoad} from '../../../src/core/registry/region-load.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';
import {promptPart} from '../../fixtures/prompt-part.ts';

/** Address at which the harness's entry takes forwarded requests. */
const self = '10.1.0.9:7101';
const others = ['10.1.0.21:7101', '10.1.0.22:7101', '10.1.0.23:7101'];
/** Share of first events that must meet their objective while the region's engines are not overloaded: 95 percent, the users' objective for the first token. */
const minInTimeShare = 0.95;

const region = (relayAddresses: readonly string[], overrides: Partial<RegionLoad> = {}): RegionLoad => ({
	region: toId<Region>('regina'),
	entries: 20,
	hasPlacers: true,
	relayAddresses,
	loads: [{
		service: toId<ServiceName>('desk'), targets: 2, inFlight: 0, waiting: 0, startMs: 0, extraMs: 0,
	}],
	...overrides,
});

const promptOf = (part: string) => ({parts: [promptPart(part, 500), promptPart(`${part}-own`, 1500)], promptTokens: 2000, outputTokens: 80});

function harnessIn(regions: readonly RegionLoad[], {engine = true, homes = [] as readonly Region[]} = {}): EdgeHarness {
	const harness = new EdgeHarness({document: routesDocumentFixture({route: {kind: engine ? 'stream' : 'safe', resumable: true, homes}, engine})});
	harness.feed({targets: ['a', 'b'].map(name => listedTargetFixture(name)), regions});
	return harness;
}

test('prompts with the same shared part are forwarded to the same placer', t => {
	const harness = harnessIn([region(others)]);
	const addresses = ['x', 'x', 'x', ...Array.from({length: 30}, (_, index) => `part-${index}`)].map(part => {
		harness.request({prompt: promptOf(part)});
		return harness.lastStart().address;
	});
	t.is(new Set(addresses.slice(0, 3)).size, 1);
	t.deepEqual([...new Set(addresses)].sort(), others);
});

test('a placer places its own prompts and those forwarded to it', t => {
	const harness = harnessIn([region([self])]);
	harness.request({prompt: promptOf('x')});
	t.truthy(harness.lastStart().targetId);
	const busy = harnessIn([region([...others, self])]);
	busy.request({prompt: promptOf('x'), forwarded: {region: toId('regina'), documentVersion: 1}});
	t.truthy(busy.lastStart().targetId);
});

test('calls of plain services are placed by the entry that received them', t => {
	const harness = harnessIn([region(others)], {engine: false});
	harness.request();
	t.truthy(harness.lastStart().targetId);
});

test('a prompt is forwarded once: if the placer refuses it or cannot be reached, the entry places it itself', t => {
	for (const end of ['refused', 'unreachable'] as const) {
		const harness = harnessIn([region(others)]);
		harness.request({prompt: promptOf('x')});
		const {attempt, targetId} = harness.lastStart();
		t.is(targetId, undefined);
		if (end === 'refused') {
			harness.head(attempt, {
				status: 503, notRun: true, signed: false, refusedBy: 'entry',
			});
		} else {
			harness.step({type: 'attempt-failed', attempt, failure: {reason: 'connect', notSent: true}});
		}

		t.truthy(harness.lastStart().targetId, `after it was ${end}`);
		t.is(harness.starts().length, 2);
	}
});

test('a placer forwards requests of its own region to a remote region, but not requests that a remote region forwarded', t => {
	const remote = region(['10.3.0.9:7101'], {region: toId<Region>('winnipeg'), hasPlacers: false});
	for (const [from, starts] of [['regina', 1], ['winnipeg', 0]] as const) {
		const harness = new EdgeHarness({document: routesDocumentFixture({route: {kind: 'stream', resumable: true}, engine: true})});
		harness.feed({regions: [region([self]), remote]});
		harness.request({prompt: promptOf('x'), forwarded: {region: toId(from), documentVersion: 1}});
		t.is(harness.starts().length, starts, `from ${from}`);
	}
});

test('a prompt whose route has only other home regions is not forwarded within the region', t => {
	const harness = harnessIn([region(others)], {homes: [toId('winnipeg')]});
	harness.request({prompt: promptOf('x')});
	t.is(harness.starts().length, 0);
});

test('without recent loads of the region every entry places its own prompts', t => {
	const harness = harnessIn([region(others)]);
	harness.run(11_000);
	harness.request({prompt: promptOf('x')});
	t.truthy(harness.lastStart().targetId);
});

test('28 entries on 33 engines of unequal speed start long prompts within the objective, as a single entry would', t => {
	for (const seed of [1, 2]) {
		const figures = new EdgeRegion({
			entries: 28, engines: 33, load: 0.5, seconds: 10, seed,
		}).run();
		t.is(figures.refused, 0, `seed ${seed}`);
		t.true(figures.longInTime >= minInTimeShare && figures.shortInTime >= minInTimeShare, `seed ${seed}: ${JSON.stringify(figures)}`);
	}
});
