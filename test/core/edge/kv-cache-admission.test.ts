import test from 'ava';
import {rankLocalTargets} from '../../../src/core/edge/rank-local-targets.ts';
import {PooledTarget} from '../../../src/core/edge/pooled-target.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {ServiceSpec} from '../../../src/core/routes/service-spec.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {promptPart} from '../../fixtures/prompt-part.ts';

const now = 1000 as Millis;
const spec: ServiceSpec = {name: toId('desk'), engine: {slots: 64, cacheTokens: 100_000, tokensPerEvent: 8}};
const shortPrompt = {parts: [], promptTokens: 1000, outputTokens: 100};

/** Whether a target with requests of other entries has room for a short prompt, if this service's requests take `meanTokens` on average. */
function hasRoom(others: number, meanTokens: number, prompt = shortPrompt): boolean {
	const target = new PooledTarget(listedTargetFixture('a', {slots: 64}), {phase: 0}, now);
	target.costs.kvCacheTokens.add(meanTokens);
	target.updateLoad({running: others, waiting: 0, slots: 64}, now);
	return rankLocalTargets({
		prompt, spec, targets: [target], limitEntries: 14, objectiveMs: 1000, leftMs: 10_000,
	}, now)[0]!.hasRoom;
}

// Guards against engines that preempt since each of many entries sends one request more to a full KV cache.
test('requests of other entries count in an engine\'s KV cache by the mean of the service, not by the request at hand', t => {
	t.true(hasRoom(8, 10_000));
	t.false(hasRoom(9, 10_000));
	t.true(hasRoom(60, 1000));
});

// Guards against estimates that one caller spoils for all with numbers that don't fit each other.
test('a prompt whose shared parts are stated to be longer than the whole takes no less than nothing of a KV cache', t => {
	const target = new PooledTarget(listedTargetFixture('a', {slots: 64}), {phase: 0}, now);
	const prompt = {...shortPrompt, parts: [promptPart('shared', 1e15), promptPart('own', 1)]};
	const [candidate] = rankLocalTargets({
		prompt, spec, targets: [target], limitEntries: 14, objectiveMs: 1000, leftMs: 10_000,
	}, now);
	t.true(candidate!.kvCacheTokens >= 0);
	t.true(candidate!.uncachedTokens >= 1);
	t.true(Number.isFinite(candidate!.costMs));
	target.prefixCache.recordUse({...shortPrompt, parts: [promptPart('a', 400), promptPart('b', 100)]}, 100_000);
	target.prefixCache.recordUse(prompt, 100_000);
	t.is(target.prefixCache.cachedTokens({...shortPrompt, parts: [promptPart('a', 400)]}), 400);
});

test('a request larger than the KV cache may run alone', t => {
	const large = {...shortPrompt, promptTokens: 120_000};
	t.true(hasRoom(0, 10_000, large));
	t.false(hasRoom(2, 10_000, large));
});
