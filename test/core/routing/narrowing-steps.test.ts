import test from 'ava';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {HealthStep} from '../../../src/core/routing/health-step.ts';
import {CapacityStep} from '../../../src/core/routing/capacity-step.ts';
import {PoisonStep} from '../../../src/core/routing/poison-step.ts';
import {ResidencyStep} from '../../../src/core/routing/residency-step.ts';
import type {RouteQuery} from '../../../src/core/routing/route-query.ts';
import type {RoutingStep} from '../../../src/core/routing/routing-step.ts';
import {TriedStep} from '../../../src/core/routing/tried-step.ts';
import {regionViewFixture} from '../../fixtures/region-view-fixture.ts';
import {routeQueryFixture} from '../../fixtures/route-query-fixture.ts';
import {routingContextFixture} from '../../fixtures/routing-context-fixture.ts';
import {targetViewFixture} from '../../fixtures/target-view-fixture.ts';

function run(step: RoutingStep, query: RouteQuery) {
	const context = routingContextFixture(query);
	const decision = step.run(context);
	return {context, decision, left: context.candidates.map(({target}) => target.targetId as string)};
}

test('residency can rule out the local region', t => {
	const query = routeQueryFixture({targets: [targetViewFixture('a')]}, {req: {residency: [toId('winnipeg-a')]}});
	const refused = run(new ResidencyStep(), query);
	t.is(refused.decision?.type === 'refuse' && refused.decision.refusal.result, 'residency');
	const elsewhere = run(new ResidencyStep(), {...query, regions: [regionViewFixture('winnipeg-a')]});
	t.is(elsewhere.decision, undefined);
	t.deepEqual(elsewhere.left, []);
});

test('the residency of the route applies in addition to that of the request', t => {
	const query = routeQueryFixture({targets: [targetViewFixture('a')]}, {settings: {residency: [toId('muscat-a')]}});
	t.is(run(new ResidencyStep(), query).decision?.type, 'refuse');
});

test('a forwarded request that the local region may not serve is refused', t => {
	const query = routeQueryFixture({regions: [regionViewFixture('winnipeg-a')]}, {
		req: {
			residency: [toId('winnipeg-a')],
			forwardedBy: {nodeId: toId('w1'), region: toId('winnipeg-a'), revision: 1},
		},
	});
	t.is(run(new ResidencyStep(), query).decision?.type, 'refuse');
});

test('ejected targets are removed unless all targets are ejected', t => {
	const bad = targetViewFixture('bad', {ejected: true});
	t.deepEqual(run(new HealthStep(), routeQueryFixture({targets: [bad, targetViewFixture('good')]})).left, ['good']);
	t.deepEqual(run(new HealthStep(), routeQueryFixture({targets: [bad]})).left, ['bad']);
});

test('a leaving target is never a candidate', t => {
	const targets = [targetViewFixture('a', {}, {state: 'leaving'})];
	t.deepEqual(run(new HealthStep(), routeQueryFixture({targets})).left, []);
});

test('a target that was tried is removed', t => {
	const tried = {targets: new Set([toId<TargetId>('a')]), regions: new Set<never>()};
	t.deepEqual(run(new TriedStep(), routeQueryFixture({targets: [targetViewFixture('a'), targetViewFixture('b')], tried})).left, ['b']);
});

test('a suspect is restricted to the targets with the fewest requests in flight', t => {
	const targets = [targetViewFixture('busy', {inFlight: 3}), targetViewFixture('idle')];
	t.deepEqual(run(new PoisonStep(), routeQueryFixture({targets, alone: true})).left, ['idle']);
	t.is(run(new PoisonStep(), routeQueryFixture({targets})).left.length, 2);
});

test('a target has room up to the route\'s limit and the capacity that other entries leave', t => {
	const targets = [targetViewFixture('limit', {inFlight: 4, limit: 4}), targetViewFixture('route', {inFlight: 2}), targetViewFixture('free')];
	const {context} = run(new CapacityStep(), routeQueryFixture({targets}, {settings: {targetConcurrency: 2}}));
	t.deepEqual(context.candidates.map(({hasRoom}) => hasRoom), [false, false, true]);
});
