import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import {PipelineRouter} from '../../../src/core/routing/pipeline-router.ts';
import type {RouteDecision} from '../../../src/core/routing/route-decision.ts';
import {routeQueryFixture} from '../../fixtures/route-query-fixture.ts';
import {targetViewFixture} from '../../fixtures/target-view-fixture.ts';

const router = new PipelineRouter({random: new SeededRandom(1)});

function refusalOf(decision: RouteDecision): string | undefined {
	return decision.type === 'refuse' && decision.refusal.retryAfterMs! > 0 ? decision.refusal.result : undefined;
}

test('without a target the request is refused at once with a retry time', t => {
	t.is(refusalOf(router.choose(routeQueryFixture())), 'noTarget');
});

test('a target with room is chosen, with the number of tokens expected to be cached', t => {
	const targets = [targetViewFixture('a', {cachedBlocks: () => 2})];
	const decision = router.choose(routeQueryFixture({targets}));
	t.is(decision.type === 'target' && decision.targetId as string, 'a');
	t.is(decision.type === 'target' && decision.cachedTokens, 128);
});

test('a request that cannot meet its deadline is refused: as overloaded on a busy target, as deadline on a slow one', t => {
	const req = {deadlineAt: 100 as Millis};
	const busy = targetViewFixture('a', {inFlight: 10, limit: 8, othersInFlight: 90});
	t.is(refusalOf(router.choose(routeQueryFixture({targets: [busy]}, {req}))), 'overloaded');
	t.is(refusalOf(router.choose(routeQueryFixture({targets: [targetViewFixture('a', {tokenMs: 100})]}, {req}))), 'deadline');
});

test('refused callers get different retry times', t => {
	const times = new Set(Array.from({length: 20}, () => {
		const decision = router.choose(routeQueryFixture());
		return decision.type === 'refuse' ? decision.refusal.retryAfterMs : 0;
	}));
	t.true(times.size > 15);
});
