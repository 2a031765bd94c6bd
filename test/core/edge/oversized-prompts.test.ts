import test from 'ava';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const rounds = 40;
const stepMs = 60;
const ordinary = {parts: [], promptTokens: 1000, outputTokens: 80};

for (const promptTokens of [1e6, 1e15]) {
	// Guards against a client whose prompts no engine can hold, and which so kept everybody else from the engines.
	test(`prompts of ${promptTokens} tokens, which engines reject, leave the engines to others`, t => {
		const names = ['a', 'b'];
		const harness = new EdgeHarness({document: routesDocumentFixture({engine: true, route: {kind: 'stream', resumable: false, attempts: 1}})});
		harness.feed({targets: names.map(name => listedTargetFixture(name, {slots: 8}))});
		for (let round = 0; round < rounds; round++) {
			for (const name of names) {
				const before = harness.starts().length;
				harness.request({path: `/orders/${name}`, prompt: {parts: [], promptTokens, outputTokens: 80}, budgetMs: 500});
				let rejected = before;
				while (rejected < harness.starts().length) {
					harness.head(harness.starts()[rejected]!.attempt, {status: 503, notRun: true, load: {running: 2, waiting: 0, slots: 8}});
					rejected += 1;
				}
			}

			const before = harness.starts().length;
			harness.request({prompt: ordinary});
			t.is(harness.starts().length, before + 1, `the ordinary request of round ${round} was not sent at once`);
			const {attempt} = harness.lastStart();
			harness.head(attempt, {load: {running: 3, waiting: 0, slots: 8}});
			harness.step({type: 'attempt-events', attempt, count: 1});
			harness.step({type: 'attempt-end', attempt, truncated: false});
			harness.run(stepMs);
			harness.feed({targets: [], from: 0});
		}
	});
}
