import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {RouteRule} from '../../../src/core/routes/route-rule.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';
import {promptPart} from '../../fixtures/prompt-part.ts';

const names = ['a', 'b', 'c', 'd'];
const failing = 'a';
const failureShare = 0.4;
/** Most failures, as a share of those that an even spread over the targets would cause. */
const mostFailures = 0.4;
const answerMs = 40;
const intervalMs = 50;
const prompt = {parts: [promptPart('own', 800)], promptTokens: 800, outputTokens: 8};

type Traffic = {readonly title: string; readonly route: Partial<RouteRule>; readonly hasPrompt: boolean};

const traffics: readonly Traffic[] = [
	{title: 'unsafe calls', route: {kind: 'unsafe', attempts: 1}, hasPrompt: false},
	{title: 'streams that may not be resumed', route: {kind: 'stream', resumable: false, attempts: 1}, hasPrompt: true},
];

/** Sends requests one after the other for `ms` milliseconds; `share` of those at the failing target get status 500. Returns how many failed, how many went there and how many there were. */
function play(harness: EdgeHarness, {hasPrompt, ms, share}: {hasPrompt: boolean; ms: number; share: number}, random: SeededRandom) {
	const result = {failed: 0, there: 0, sent: 0};
	for (let waited = 0; waited < ms; waited += intervalMs) {
		harness.request(hasPrompt ? {prompt} : {});
		const {attempt, targetId} = harness.lastStart();
		harness.run(answerMs);
		const fails = targetId === failing && random.next() < share;
		harness.head(attempt, {status: fails ? 500 : 200, eventStream: hasPrompt && !fails});
		if (hasPrompt && !fails) {
			harness.step({type: 'attempt-events', attempt, count: 1});
		}

		harness.step({type: 'attempt-end', attempt, truncated: false});
		harness.run(intervalMs - answerMs);
		harness.feed({targets: [], from: 0});
		result.sent += 1;
		result.there += targetId === failing ? 1 : 0;
		result.failed += fails ? 1 : 0;
	}

	return result;
}

for (const {title, route, hasPrompt} of traffics) {
	test(`a target that fails part of its requests, though it reports that it serves, gets few of them until it recovers, ${title}`, t => {
		const random = new SeededRandom(5);
		const harness = new EdgeHarness({document: routesDocumentFixture({engine: hasPrompt, route})});
		harness.feed({targets: names.map(name => listedTargetFixture(name))});
		const {failed, sent} = play(harness, {hasPrompt, ms: 20_000, share: failureShare}, random);
		const evenly = failureShare * sent / names.length;
		t.true(failed <= mostFailures * evenly, `${failed} of ${sent} failed, ${evenly} if spread evenly`);
		play(harness, {hasPrompt, ms: 10_000, share: 0}, random);
		const after = play(harness, {hasPrompt, ms: 10_000, share: 0}, random);
		t.true(after.there >= after.sent / names.length / 2, `${after.there} of ${after.sent} after it has recovered`);
	});
}

test('targets that all fail get requests alike', t => {
	const harness = new EdgeHarness({document: routesDocumentFixture({route: {kind: 'unsafe', attempts: 1}})});
	harness.feed({targets: names.map(name => listedTargetFixture(name))});
	for (let index = 0; index < 40; index++) {
		harness.request();
		const {attempt} = harness.lastStart();
		harness.run(intervalMs);
		harness.head(attempt, {status: 500, eventStream: false});
		harness.step({type: 'attempt-end', attempt, truncated: false});
	}

	for (const name of names) {
		t.true(harness.starts().filter(({targetId}) => targetId === name).length >= 5);
	}
});
