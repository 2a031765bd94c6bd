import test from 'ava';
import fc from 'fast-check';
import {controlTiming} from '../../../src/core/control/control-timing.ts';
import type {CallerKey} from '../../../src/core/ids/caller-key.ts';
import type {SoftwareVersion} from '../../../src/core/ids/software-version.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {StateMemory} from '../../../src/core/memory/state-memory.ts';
import type {ListedTarget} from '../../../src/core/registry/listed-target.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {StreamOriginHarness} from '../../fixtures/stream-origin-harness.ts';

const {begunAt, control, otherControl, prompt, service, tickMs, v1, v2} = StreamOriginHarness;

test('a stream that began at this entry is taken up at its software version without a question', t => {
	const harness = new StreamOriginHarness();
	const version = harness.begin('began');
	harness.resume();
	t.is(harness.sent('find-stream').length, 0);
	t.is(harness.lastStart().targetId as string, version === v1 ? 'a' : 'b');
});

test('a stream is taken up at the only software version that its service has had', t => {
	const harness = new StreamOriginHarness();
	harness.resume();
	harness.answer(control, {soleVersion: begunAt(v2)});
	t.is(harness.starts().length, 0);
	harness.answer(otherControl, {});
	t.is(harness.lastStart().targetId as string, 'b');
});

test('an entry that has long listed one software version alone needs no control node that names it, only none that objects', t => {
	const harness = new StreamOriginHarness();
	const targets = [listedTargetFixture('a', {softwareVersion: v1})];
	const listFor = (ms: number, other: readonly ListedTarget[] = []) => {
		for (let waited = 0; waited < ms; waited += 500) {
			harness.run(500);
			harness.feed({targets: [...targets, ...other]});
		}
	};

	/** Takes a stream up that no control node knows; returns the target that it goes on at. */
	const takeUp = (versions: readonly SoftwareVersion[] = []) => {
		const [starts, queries] = [harness.starts().length, harness.sent('find-stream').length];
		harness.resume();
		t.is(harness.starts().length, starts);
		for (const {to} of harness.sent('find-stream').slice(queries)) {
			harness.answer(to, {versions});
		}

		return harness.starts().slice(starts).map(({targetId}) => targetId as string)[0];
	};

	t.is(takeUp(), undefined, 'another version was listed lately');
	listFor(controlTiming.streamRetentionMs + 1000);
	t.is(takeUp([v1]), 'a');
	t.is(takeUp([v1, v2]), undefined, 'a control node knows another version');
	harness.run(controlTiming.feedTimeoutMs + 500);
	t.is(takeUp(), undefined, 'no feed arrives');
	listFor(2000);
	t.is(takeUp(), undefined, 'a version may have come and gone');
	listFor(controlTiming.streamRetentionMs + 1000, [listedTargetFixture('c', {softwareVersion: v2, state: 'leaving'})]);
	t.is(takeUp(), undefined, 'another version is leaving');
});

test('a version that one control node takes for the only one is not taken while another one knows better, or has not answered', t => {
	for (const better of [{stream: begunAt(v1)}, {versions: [v1, v2]}, {versions: [v1]}]) {
		const harness = new StreamOriginHarness();
		harness.resume();
		harness.answer(control, {soleVersion: begunAt(v2), versions: [v2]});
		t.is(harness.starts().length, 0);
		harness.answer(otherControl, better);
		t.deepEqual(harness.starts().map(({targetId}) => targetId as string), better.stream === undefined ? [] : ['a']);
		t.is(harness.refusals().length, better.stream === undefined ? 1 : 0);
	}
});

test('a stream of a request that another entry forwarded is neither kept nor reported: only that one knows which events its caller has', t => {
	const harness = new StreamOriginHarness();
	harness.request({prompt, callerKey: toId<CallerKey>('began'), forwarded: {region: toId('winnipeg'), documentVersion: 1}});
	const {attempt} = harness.lastStart();
	harness.head(attempt);
	harness.step({
		type: 'attempt-events', attempt, count: 1, lastId: '1',
	});
	harness.run(controlTiming.streamReportIntervalMs + tickMs);
	t.deepEqual(harness.sent('streams-begun'), []);
	harness.resume();
	t.is(harness.sent('find-stream').length, 2);
});

test('no only software version is asked for if the stream may be older than what control remembers', t => {
	for (const [timeoutMs, asked] of [[3000, service], [controlTiming.streamRetentionMs + 1, undefined]] as const) {
		const harness = new StreamOriginHarness({route: {timeoutMs}});
		harness.resume();
		t.is(harness.sent('find-stream')[0]!.body.service, asked);
	}
});

test('a stream whose service the route no longer leads to is refused as not run', t => {
	const harness = new StreamOriginHarness();
	harness.resume();
	harness.answer(control, {stream: {service: toId('elsewhere'), softwareVersion: v1}});
	t.is(harness.starts().length, 0);
	t.deepEqual(harness.refusals().map(({ran}) => ran), ['no']);
});

test('control is told soon of each stream that began, and of all recent ones after it has started again', t => {
	const harness = new StreamOriginHarness();
	const versions = ['one', 'two'].map(callerKey => [callerKey, 'desk', harness.begin(callerKey)]);
	harness.run(controlTiming.streamReportIntervalMs + tickMs);
	t.deepEqual(harness.sent('streams-begun').flatMap(({body}) => body.streams as unknown[]), versions);
	harness.run(1000);
	t.is(harness.sent('streams-begun').length, 1);
	harness.feedAll('run-2');
	harness.run(controlTiming.streamReportIntervalMs + tickMs);
	t.deepEqual(harness.sent('streams-begun').at(-1)!.body.streams as unknown[], versions);
});

test('streams that began are remembered though they take all of their memory: further ones are refused as not run until there is room', t => {
	const harness = new StreamOriginHarness({state: new StateMemory({maxBytes: 50_000})});
	const versions = new Map<string, SoftwareVersion>();
	while (harness.refusals().length === 0 && versions.size < 1000) {
		const callerKey = `stream-${versions.size}`;
		versions.set(callerKey, harness.begin(callerKey));
	}

	t.true(versions.size > 20 && versions.size < 1000);
	t.is(harness.refusals()[0]!.ran, 'no');
	t.true(harness.refusals()[0]!.retryAfterMs! > 0);
	t.true(harness.actions.some(action => action.type === 'count' && action.name === 'clients_turned_away'));
	versions.delete(`stream-${versions.size - 1}`);
	for (const [callerKey, version] of versions) {
		harness.resume(callerKey);
		t.is(harness.lastStart().targetId as string, version === v1 ? 'a' : 'b');
	}

	t.is(harness.refusals().length, 1);
	harness.run(controlTiming.streamRetentionMs + tickMs);
	harness.feedAll('run-1');
	const refused = harness.refusals().length;
	harness.begin('later');
	t.is(harness.refusals().length, refused);
});

test('no stream begins while the control node that is told of them has no memory for more, and those that have begun are taken up', t => {
	const harness = new StreamOriginHarness();
	const version = harness.begin('began');
	harness.feedAll('run-1', {streamsFull: true});
	harness.request({prompt});
	t.deepEqual(harness.refusals().map(({ran}) => ran), ['no']);
	harness.resume();
	t.is(harness.lastStart().targetId as string, version === v1 ? 'a' : 'b');
	harness.feedAll('run-1');
	harness.begin('later');
	t.is(harness.refusals().length, 1);
});

test('streams that control can\'t be told of are forgotten once they can\'t be taken up', t => {
	const state = new StateMemory();
	const harness = new StreamOriginHarness({state, seeds: []});
	harness.run(controlTiming.followLeaseMs);
	harness.begin('began');
	t.true(state.budget('stream-origins').bytes > 0);
	harness.run(controlTiming.streamRetentionMs + tickMs);
	t.is(state.budget('stream-origins').bytes, 0);
});

test('a stream is never taken up at another software version, whatever control nodes answer and when', t => {
	const step = fc.constantFrom('begin', 'resume', 'answer', 'no answer', 'wait', 'other control');
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(step, {maxLength: 30}), fc.array(fc.boolean(), {minLength: 30, maxLength: 30}), (steps, draws) => {
			const harness = new StreamOriginHarness();
			const truth = new Map<string, SoftwareVersion>(draws.map((draw, index) => [`elsewhere-${index}`, draw ? v1 : v2]));
			for (const [index, action] of steps.entries()) {
				const query = harness.sent('find-stream').at(-1)?.body;
				switch (action) {
					case 'begin': {
						truth.set(`here-${index}`, harness.begin(`here-${index}`));
						break;
					}

					case 'resume': {
						const keys = [...truth.keys()];
						harness.resume(keys[(index * 7) % keys.length]);
						break;
					}

					case 'answer':
					case 'no answer': {
						const version = query && truth.get(query.callerKey);
						if (version !== undefined) {
							harness.answer(draws[index] ? control : otherControl, action === 'answer' ? {stream: begunAt(version)} : {});
						}

						break;
					}

					case 'wait': {
						harness.run(200);
						break;
					}

					case 'other control': {
						harness.feedAll(`run-${index}`);
						break;
					}
				}
			}

			const resumedAt = harness.actions.flatMap(action => action.type === 'event' && action.event === 'stream-resumed' ? [action.fields] : []);
			for (const {resumes, softwareVersion} of resumedAt) {
				if (truth.get(String(resumes)) !== softwareVersion) {
					throw new Error(`${String(resumes)} went on at ${String(softwareVersion)}`);
				}
			}
		}), {seed: 20, numRuns: 200});
	});
});
