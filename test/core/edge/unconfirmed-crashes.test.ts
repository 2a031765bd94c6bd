import test from 'ava';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {promptPart} from '../../fixtures/prompt-part.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const partCount = 200;
const requests = 80;
const maxTraits = 8192;

// Guards against a client that makes an entry forget what another request may be blamed for.
test('the traits of a crash that control has not confirmed are kept when more come, and are bounded', t => {
	const harness = new EdgeHarness({document: routesDocumentFixture({engine: true, route: {kind: 'stream', resumable: false, attempts: 1}})});
	harness.feed({targets: [listedTargetFixture('a', {slots: 64})]});
	for (let index = 1; index <= requests; index++) {
		harness.request({
			prompt: {parts: Array.from({length: partCount}, (_, part) => promptPart(`${index}-${part}`, 1)), promptTokens: partCount, outputTokens: 8},
		});
		harness.step({type: 'attempt-failed', attempt: harness.lastStart().attempt, failure: {reason: 'reset', notSent: false}});
		harness.run(150);
		harness.feed({targets: [], from: 0});
	}

	harness.run(1000);
	const reports = harness.actions.flatMap(action => action.type === 'send' && action.message.part === 'control' && action.message.body.type === 'crashes-seen' ? [action.message.body.reports] : []);
	const traits: readonly string[] = reports.at(-1)!.flatMap(report => report.traits);
	t.true(traits.includes('content:content-1'));
	t.true(traits.includes('part:1-0'));
	t.true(traits.length > 1000 && traits.length <= maxTraits, `${traits.length} traits`);
});
