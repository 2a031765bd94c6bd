import test from 'ava';
import type {AttemptFailure} from '../../../src/core/edge/attempt-failure.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const stepMs = 25;
const reportMs = 1200;
const rounds = 400;
const ordinaryEvery = 4;
const silentEvery = 10;

function start(names: readonly string[]): EdgeHarness {
	const harness = new EdgeHarness({document: routesDocumentFixture({route: {kind: 'safe', attempts: 1}})});
	harness.feed({targets: names.map(name => listedTargetFixture(name))});
	return harness;
}

/** Makes an ordinary call; returns the target that answers it, undefined if the call was refused. */
function call(harness: EdgeHarness): string | undefined {
	const before = harness.starts().length;
	harness.request();
	if (harness.starts().length === before) {
		return undefined;
	}

	const {attempt, targetId} = harness.lastStart();
	harness.head(attempt, {eventStream: false});
	harness.step({type: 'attempt-end', attempt, truncated: false});
	return targetId;
}

/** Makes a call that its target fails, whichever it is. */
function failingCall(harness: EdgeHarness, reason: AttemptFailure['reason']): void {
	const before = harness.starts().length;
	harness.request();
	if (harness.starts().length > before) {
		harness.step({type: 'attempt-failed', attempt: harness.lastStart().attempt, failure: {reason, notSent: false}});
	}
}

for (const [count, reason] of [[1, 'reset'], [2, 'reset'], [2, 'malformed'], [2, 'truncated'], [5, 'reset']] as const) {
	const names = Array.from({length: count}, (_, index) => `target-${index}`);

	// Guards against a client whose requests no target answers, and which so kept everybody else from the service.
	test(`calls that every target fails leave the service of ${count} targets to others, ${reason}`, t => {
		const harness = start(names);
		const served = new Set<string | undefined>();
		for (let round = 0; round < rounds; round++) {
			failingCall(harness, reason);
			harness.run(stepMs);
			if (round % ordinaryEvery === 0) {
				served.add(call(harness));
			}

			if (round % (reportMs / stepMs) === 0) {
				harness.feed({targets: [], from: 0, signs: names.map(name => [listedTargetFixture(name).targetId, 10 + round])});
			}
		}

		t.false(served.has(undefined), 'an ordinary call was refused');
		t.is(served.size, count, 'a target was not used');
	});
}

// Guards against a client whose requests get no answer anywhere, and which so kept everybody else from the service.
test('calls that no target answers leave targets that answer others to them', t => {
	const names = ['a', 'b'];
	const harness = new EdgeHarness({document: routesDocumentFixture({route: {kind: 'safe', attempts: 2}})});
	harness.feed({targets: names.map(name => listedTargetFixture(name, {slots: 64}))});
	for (let round = 0; round < rounds; round++) {
		if (round % silentEvery === 0) {
			harness.request();
		}

		harness.run(stepMs);
		for (const name of names) {
			t.true(names.includes(call(harness) ?? ''), `an ordinary call was refused beside ${name} in round ${round}`);
		}

		harness.feed({targets: [], from: 0});
	}
});

test('a target that fails where others do not gets no calls until it reports', t => {
	const names = ['a', 'b', 'c'];
	const harness = start(names);
	let failing: string | undefined;
	for (let round = 0; round < 30; round++) {
		failing = call(harness);
		harness.run(stepMs);
	}

	harness.request();
	const {attempt, targetId} = harness.lastStart();
	harness.step({type: 'attempt-failed', attempt, failure: {reason: 'reset', notSent: false}});
	t.not(failing, undefined);
	for (let round = 0; round < 30; round++) {
		t.not(call(harness), targetId as string);
		harness.run(stepMs);
	}
});

test('a target that gives no sign is not tried again though no other is left', t => {
	const harness = start(['a']);
	harness.request();
	const {attempt} = harness.lastStart();
	harness.step({type: 'attempt-failed', attempt, failure: {reason: 'connect', notSent: true}});
	t.is(call(harness), undefined);
});
