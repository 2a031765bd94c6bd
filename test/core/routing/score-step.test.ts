import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import {CapacityStep} from '../../../src/core/routing/capacity-step.ts';
import type {RouteQuery} from '../../../src/core/routing/route-query.ts';
import {ScoreStep} from '../../../src/core/routing/score-step.ts';
import type {TargetView} from '../../../src/core/targets/target-view.ts';
import {routeQueryFixture} from '../../fixtures/route-query-fixture.ts';
import {routingContextFixture} from '../../fixtures/routing-context-fixture.ts';
import {targetViewFixture} from '../../fixtures/target-view-fixture.ts';

function best(targets: readonly TargetView[], overrides: Partial<RouteQuery> = {}, prefixBlocks: readonly string[] = []): string | undefined {
	const context = routingContextFixture(routeQueryFixture({targets, ...overrides}, {req: {prefixBlocks}}));
	new CapacityStep().run(context);
	new ScoreStep({random: new SeededRandom(3)}).run(context);
	return context.best?.target.targetId;
}

test('the faster of two equally loaded targets is chosen', t => {
	t.is(best([targetViewFixture('slow', {tokenMs: 50}), targetViewFixture('fast', {tokenMs: 5})]), 'fast');
});

test('among equal targets the one with the prompt cached is chosen', t => {
	t.is(best([targetViewFixture('cold'), targetViewFixture('warm', {cachedBlocks: () => 4})], {}, ['a', 'b', 'c', 'd']), 'warm');
});

test('requests that other entries sent to a target count as load', t => {
	t.is(best([targetViewFixture('busy', {othersInFlight: 7}), targetViewFixture('idle')]), 'idle');
});

test('a full fast target is preferred over a slow one with room while few requests wait, and not when many do', t => {
	const targets = [
		targetViewFixture('fast', {tokenMs: 4, inFlight: 10, limit: 8}),
		targetViewFixture('slow', {tokenMs: 40}),
	];
	t.is(best(targets, {waiting: 0}), 'fast');
	t.is(best(targets, {waiting: 200}), 'slow');
});

test('requests with the same prefix go to one target until it exceeds the load bound', t => {
	const targets = Array.from({length: 6}, (_, index) => targetViewFixture(`engine-${index}`));
	const blocks = ['x', 'y', 'z'];
	const affine = best(targets, {}, blocks);
	t.is(best(targets.toReversed(), {}, blocks), affine);
	const busy = targets.map(target => target.targetId as string === affine ? {...target, inFlight: 4} : target);
	t.not(best(busy, {}, blocks), affine);
});

test('equal targets are chosen at random, not by order', t => {
	const random = new SeededRandom(1);
	const chosen = new Set<string>();
	for (let index = 0; index < 50; index++) {
		const context = routingContextFixture(routeQueryFixture({targets: ['a', 'b', 'c'].map(id => targetViewFixture(id))}, {req: {prefixBlocks: []}}));
		new ScoreStep({random}).run(context);
		chosen.add(context.best!.target.targetId);
	}

	t.is(chosen.size, 3);
});
