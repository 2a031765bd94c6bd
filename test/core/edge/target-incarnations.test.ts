import test from 'ava';
import type {AnswerHead} from '../../../src/core/edge/answer-head.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {TargetPool} from '../../../src/core/edge/target-pool.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';

const now = 0 as Millis;
const refusal: Partial<AnswerHead> = {status: 503, notRun: true, eventStream: false};

test('an older incarnation that is listed late is used, or ends the pause of the newer one', t => {
	const pool = new TargetPool(toId('10.1.0.9:7100'));
	const newer = listedTargetFixture('p', {born: 2000});
	pool.update([newer], true, now);
	pool.get(newer.targetId)!.suspension.leave();
	pool.update([], true, now);
	pool.update([listedTargetFixture('p', {born: 1000})], true, now);
	t.deepEqual(pool.usable(toId('desk'), now), []);
	pool.update([{...newer, sequence: 2}], false, now);
	t.deepEqual(pool.usable(toId('desk'), now), []);
	pool.update([listedTargetFixture('p', {born: 3000})], false, now);
	t.is(pool.usable(toId('desk'), now).length, 1);
});

test('a late answer of an earlier incarnation keeps requests from the one that took its place', t => {
	for (const said of [{leaving: true}, {retryAfterMs: 20_000}]) {
		const harness = new EdgeHarness();
		harness.feed({targets: [listedTargetFixture('p')]});
		harness.request();
		const {attempt} = harness.lastStart();
		harness.feed({targets: [listedTargetFixture('p', {born: 2000})]});
		harness.head(attempt, {...refusal, ...said});
		harness.run(500);
		harness.request();
		t.is(harness.starts().length, 2);
	}
});

test('an answer with status 421, of another target at the address, or a status that asks for no pause, keeps requests from the target', t => {
	for (const head of [{status: 421, leaving: true}, {status: 421, retryAfterMs: 20_000}, {status: 429, retryAfterMs: 20_000}]) {
		const harness = new EdgeHarness();
		harness.feed({targets: [listedTargetFixture('p')]});
		harness.request();
		harness.head(harness.lastStart().attempt, {...refusal, ...head});
		harness.run(500);
		harness.feed({targets: [listedTargetFixture('p', {sequence: 2})], signs: [[toId('p'), 2]]});
		harness.request();
		t.is(harness.starts().length, 2, `status ${head.status}`);
	}
});
