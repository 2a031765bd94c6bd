import test from 'ava';
import fc from 'fast-check';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {PipelineRouter} from '../../../src/core/routing/pipeline-router.ts';
import type {RouteQuery} from '../../../src/core/routing/route-query.ts';
import type {RequestInfo} from '../../../src/core/settings/request-info.ts';
import type {RouteSettings} from '../../../src/core/settings/route-settings.ts';
import {regionViewFixture} from '../../fixtures/region-view-fixture.ts';
import {routeQueryFixture} from '../../fixtures/route-query-fixture.ts';
import {targetViewFixture} from '../../fixtures/target-view-fixture.ts';

const full = targetViewFixture('full', {inFlight: 10, limit: 8, othersInFlight: 40});
const forwardedBy: RequestInfo['forwardedBy'] = {nodeId: toId('s1'), region: toId('saskatoon-a'), revision: 1};

function choose(overrides: Partial<RouteQuery>, parts: {req?: Partial<RequestInfo>; settings?: Partial<RouteSettings>} = {}) {
	return new PipelineRouter({random: new SeededRandom(1)})
		.choose(routeQueryFixture({targets: [full], regions: [regionViewFixture('winnipeg-a')], ...overrides}, parts));
}

test('a request is forwarded from a full region to a free one, and only for a gain above the penalty', t => {
	t.is(choose({}).type, 'away');
	t.is(choose({}, {settings: {awayPenaltyMs: 60_000}}).type, 'wait');
});

test('without a local target the request is forwarded whatever the penalty', t => {
	t.is(choose({targets: []}, {settings: {awayPenaltyMs: 60_000}}).type, 'away');
});

test('a forwarded request is never forwarded again, whatever the load', t => {
	fc.assert(fc.property(fc.nat(200), fc.nat(50), fc.boolean(), (others, penalty, empty) => {
		const targets = empty ? [] : [targetViewFixture('a', {othersInFlight: others, inFlight: others})];
		const decision = choose({targets}, {req: {forwardedBy}, settings: {awayPenaltyMs: penalty}});
		t.not(decision.type, 'away');
	}), {seed: 3, numRuns: 100});
});

test('a request is only sent to regions that residency allows', t => {
	const names = ['regina-a', 'saskatoon-a', 'winnipeg-a'];
	fc.assert(fc.property(fc.subarray(names), fc.subarray(names), fc.boolean(), (byRequest, byRoute, empty) => {
		const decision = choose({
			targets: empty ? [] : [full],
			regions: [regionViewFixture('saskatoon-a'), regionViewFixture('winnipeg-a')],
		}, {
			req: {residency: byRequest.map(name => toId<Region>(name))},
			settings: {residency: byRoute.map(name => toId<Region>(name))},
		});
		const allowed = new Set(names.filter(name => byRequest.includes(name) && byRoute.includes(name)));
		if (decision.type === 'away') {
			t.true(allowed.has(decision.region));
		} else if (decision.type !== 'refuse') {
			t.true(allowed.has('regina-a'));
		}
	}), {seed: 9, numRuns: 100});
});

test('nothing is forwarded to a region that is unreachable, full or tried, or that lacks entries, a recent summary or the model', t => {
	const region = (overrides: Parameters<typeof regionViewFixture>[1], summary: Parameters<typeof regionViewFixture>[2] = {}) =>
		choose({regions: [regionViewFixture('winnipeg-a', overrides, summary)]}, {req: {model: 'proof-9b'}}).type;
	t.is(region({}), 'away');
	t.is(region({reachable: false}), 'wait');
	t.is(region({entries: []}), 'wait');
	t.is(region({ageMs: 60_000}), 'wait');
	t.is(region({}, {running: 16}), 'wait');
	t.is(region({}, {models: []}), 'wait');
	t.is(choose({tried: {targets: new Set(), regions: new Set([toId<Region>('winnipeg-a')])}}).type, 'wait');
});

test('bytes forwarded to other regions are bounded', t => {
	t.is(choose({remoteBytesLastSecond: 2_000_000}).type, 'wait');
});

test('forwards of this node count as load until a summary includes them', t => {
	const router = new PipelineRouter({random: new SeededRandom(1)});
	const regions = [regionViewFixture('winnipeg-a')];
	const decisions = Array.from({length: 20}, () => router.choose(routeQueryFixture({targets: [full], regions})).type);
	const away = decisions.filter(type => type === 'away').length;
	t.true(away > 0 && away < 16);
	t.is(decisions.at(-1), 'wait');
});

test('traffic to a recovered region is ramped up', t => {
	const router = new PipelineRouter({random: new SeededRandom(1)});
	const share = (at: number, reachable = true) => {
		let away = 0;
		for (let index = 0; index < 100; index++) {
			const regions = [regionViewFixture('winnipeg-a', {ageMs: 0, reachable}, {capacity: 10_000})];
			away += router.choose(routeQueryFixture({now: at + index as Millis, targets: [full], regions}, {req: {deadlineAt: 1e9 as Millis}})).type === 'away' ? 1 : 0;
		}

		return away;
	};

	t.is(share(0), 100);
	t.is(share(1000, false), 0);
	const first = share(2000);
	const later = share(17_000);
	t.true(first < later && later < 100);
	t.is(share(60_000), 100);
});

test('three full regions whose stale summaries promise room forward a request at most once', t => {
	const names = ['regina-a', 'saskatoon-a', 'winnipeg-a'];
	const routers = new Map(names.map((name, index) => [name, new PipelineRouter({random: new SeededRandom(index)})]));
	const hopsFrom = (at: string, by?: RequestInfo['forwardedBy']): number => {
		const regions = names.filter(name => name !== at).map(name => regionViewFixture(name, {ageMs: 10_000}));
		const query = routeQueryFixture({region: toId<Region>(at), targets: [full], regions}, {req: {forwardedBy: by}});
		const decision = routers.get(at)!.choose(query);
		if (decision.type !== 'away') {
			return 0;
		}

		return 1 + hopsFrom(decision.region, {nodeId: toId(at), region: toId(at), revision: 1});
	};

	t.deepEqual(names.map(name => hopsFrom(name)), [1, 1, 1]);
});
