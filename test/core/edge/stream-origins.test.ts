import test from 'ava';
import fc from 'fast-check';
import type {BegunStream} from '../../../src/core/control/begun-stream.ts';
import type {ControlMessage} from '../../../src/core/control/control-message.ts';
import {controlTiming} from '../../../src/core/control/control-timing.ts';
import type {CallerKey} from '../../../src/core/ids/caller-key.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import type {ServiceName} from '../../../src/core/ids/service-name.ts';
import type {SoftwareVersion} from '../../../src/core/ids/software-version.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {StateMemory} from '../../../src/core/memory/state-memory.ts';
import type {ListedTarget} from '../../../src/core/registry/listed-target.ts';
import type {RouteRule} from '../../../src/core/routes/route-rule.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

type Answer = Omit<ControlMessage & {type: 'stream-found'}, 'type' | 'requestId'>;

const prompt = {parts: [], promptTokens: 2000, outputTokens: 80};
const service = toId<ServiceName>('desk');
const v1 = toId<SoftwareVersion>('v1');
const v2 = toId<SoftwareVersion>('v2');
const begunAt = (softwareVersion: SoftwareVersion): BegunStream => ({service, softwareVersion});
const control = toId<NodeId>('10.1.0.1:7104');
const otherControl = toId<NodeId>('10.2.0.1:7104');
/** Margin for the ticks of the harness, in milliseconds. */
const tickMs = 50;

/** An entry with one target of each version, which knows two control nodes. */
function startEntry(route: Partial<RouteRule> = {}, state?: StateMemory): EdgeHarness {
	const harness = new EdgeHarness({
		state,
		document: routesDocumentFixture({
			route: {
				kind: 'stream', resumable: true, attempts: 3, ...route,
			}, engine: true,
		}),
	});
	feed(harness, 'run-1');
	return harness;
}

/** Sends a whole list of the targets in a run of the control node. */
function feed(harness: EdgeHarness, epoch: string, overrides: Parameters<EdgeHarness['feed']>[0] = {}): void {
	harness.feed({
		...overrides,
		epoch,
		targets: [listedTargetFixture('a', {softwareVersion: v1}), listedTargetFixture('b', {softwareVersion: v2})],
		control: [{nodeId: control, region: toId<Region>('regina')}, {nodeId: otherControl, region: toId<Region>('winnipeg')}],
	});
}

/** Control messages that the entry has sent, with their receivers. */
function sent<Type extends ControlMessage['type']>(harness: EdgeHarness, type: Type) {
	return harness.actions.flatMap(action => action.type === 'send' && action.message.part === 'control' && action.message.body.type === type
		? [{to: action.to, body: action.message.body as ControlMessage & {type: Type}}]
		: []);
}

/** A caller takes up the stream that the request `resumes` began. */
function resume(harness: EdgeHarness, resumes = 'began'): void {
	harness.request({
		prompt, callerKey: toId<CallerKey>('again'), resumeAfter: '3', resumes: toId<CallerKey>(resumes),
	});
}

function answer(harness: EdgeHarness, from: NodeId, found: Answer): void {
	const {requestId} = sent(harness, 'find-stream').at(-1)!.body;
	harness.step({type: 'peer', from, message: {part: 'control', body: {type: 'stream-found', requestId, ...found}}});
}

/** Lets a stream begin at the entry; returns the version of its target. */
function begin(harness: EdgeHarness, callerKey: string): SoftwareVersion {
	harness.request({prompt, callerKey: toId<CallerKey>(callerKey)});
	const {attempt, targetId} = harness.lastStart();
	harness.head(attempt);
	harness.step({
		type: 'attempt-events', attempt, count: 1, lastId: '1',
	});
	harness.step({type: 'attempt-end', attempt, truncated: false});
	return (targetId as string) === 'a' ? v1 : v2;
}

test('a stream that began at this entry is taken up at its software version without a question', t => {
	const harness = startEntry();
	const version = begin(harness, 'began');
	resume(harness);
	t.is(sent(harness, 'find-stream').length, 0);
	t.is(harness.lastStart().targetId as string, version === v1 ? 'a' : 'b');
});

test('a stream that began elsewhere waits until a control node names its software version', t => {
	for (const [version, target] of [[v1, 'a'], [v2, 'b']] as const) {
		const harness = startEntry();
		resume(harness);
		t.deepEqual(sent(harness, 'find-stream').map(({to}) => to), [control, otherControl]);
		t.is(harness.starts().length, 0);
		answer(harness, control, {});
		t.is(harness.starts().length, 0);
		answer(harness, otherControl, {stream: begunAt(version)});
		t.is(harness.lastStart().targetId as string, target);
	}
});

for (const end of ['its deadline', 'the end of the entry'] as const) {
	// Guards against requests that run after their callers were told that they never will.
	test(`a stream that is refused while it waits for a control node runs once that has answered: ${end}`, t => {
		const harness = startEntry();
		harness.request({
			prompt, callerKey: toId<CallerKey>('again'), resumeAfter: '3', resumes: toId<CallerKey>('began'), ...end === 'its deadline' && {budgetMs: tickMs},
		});
		if (end === 'its deadline') {
			harness.run(tickMs);
		} else {
			harness.step({type: 'end'});
		}

		t.like(harness.refusals(), [{reason: 'overloaded', ran: 'no'}]);
		answer(harness, control, {stream: begunAt(v1)});
		t.is(harness.starts().length, 0);
		t.is(harness.refusals().length, 1);
	});
}

test('a stream whose software version nobody knows is refused as not run, at once or when control does not answer', t => {
	for (const answered of [true, false]) {
		const harness = startEntry();
		resume(harness);
		if (answered) {
			answer(harness, control, {});
			answer(harness, otherControl, {});
		} else {
			harness.run(controlTiming.streamQueryTimeoutMs + (2 * tickMs));
		}

		t.is(harness.starts().length, 0);
		t.deepEqual(harness.refusals().map(({reason, ran}) => [reason, ran]), [['origin-unknown', 'no']]);
		answer(harness, control, {stream: begunAt(v1)});
		t.is(harness.starts().length, 0);
	}
});

test('a stream is taken up at the only software version that its service has had', t => {
	const harness = startEntry();
	resume(harness);
	answer(harness, control, {soleVersion: begunAt(v2)});
	t.is(harness.starts().length, 0);
	answer(harness, otherControl, {});
	t.is(harness.lastStart().targetId as string, 'b');
});

test('an entry that has long listed one software version alone needs no control node that names it, only none that objects', t => {
	const harness = startEntry();
	const targets = [listedTargetFixture('a', {softwareVersion: v1})];
	const listFor = (ms: number, other: readonly ListedTarget[] = []) => {
		for (let waited = 0; waited < ms; waited += 500) {
			harness.run(500);
			harness.feed({targets: [...targets, ...other]});
		}
	};

	/** Takes a stream up that no control node knows; returns the target that it goes on at. */
	const takeUp = (versions: readonly SoftwareVersion[] = []) => {
		const [starts, queries] = [harness.starts().length, sent(harness, 'find-stream').length];
		resume(harness);
		t.is(harness.starts().length, starts);
		for (const {to} of sent(harness, 'find-stream').slice(queries)) {
			answer(harness, to, {versions});
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

// Guards against streams that went on at another software version through an entry that was out of step while targets of a new version joined.
for (const way of ['called', 'forwarded'] as const) {
	for (const outOfStep of ['cut off', 'standing still'] as const) {
		test(`an entry that control does not answer takes no stream up at the only version that it knows: ${outOfStep}, ${way}`, t => {
			const harness = startEntry();
			for (let waited = 0; waited < controlTiming.streamRetentionMs + 1000; waited += 500) {
				harness.run(500);
				harness.feed({targets: [listedTargetFixture('a', {softwareVersion: v1})]});
			}

			const forwarded = way === 'forwarded' ? {region: toId<Region>('winnipeg'), documentVersion: 1} : undefined;
			harness.request({
				prompt, callerKey: toId<CallerKey>('again'), resumeAfter: '3', resumes: toId<CallerKey>('began'), forwarded,
			});
			if (outOfStep === 'cut off') {
				harness.run(controlTiming.streamQueryTimeoutMs + (2 * tickMs));
			} else {
				// The process's clock does not count the time for which it stood still; a tick comes before the answers that wait.
				harness.now += controlTiming.streamQueryTimeoutMs + tickMs;
				harness.step({type: 'tick'});
				answer(harness, control, {versions: [v1, v2]});
			}

			t.is(harness.starts().length, 0);
			t.deepEqual(harness.refusals().map(({reason, ran}) => [reason, ran]), [['origin-unknown', 'no']]);
		});
	}
}

test('a version that one control node takes for the only one is not taken while another one knows better, or has not answered', t => {
	for (const better of [{stream: begunAt(v1)}, {versions: [v1, v2]}, {versions: [v1]}]) {
		const harness = startEntry();
		resume(harness);
		answer(harness, control, {soleVersion: begunAt(v2), versions: [v2]});
		t.is(harness.starts().length, 0);
		answer(harness, otherControl, better);
		t.deepEqual(harness.starts().map(({targetId}) => targetId as string), better.stream === undefined ? [] : ['a']);
		t.is(harness.refusals().length, better.stream === undefined ? 1 : 0);
	}
});

test('a version that all control nodes that answer in time take for the only one is taken', t => {
	const harness = startEntry();
	resume(harness);
	answer(harness, control, {soleVersion: begunAt(v2), versions: [v2]});
	harness.run(controlTiming.streamQueryTimeoutMs + (2 * tickMs));
	t.is(harness.lastStart().targetId as string, 'b');
});

test('a stream of a request that another entry forwarded is neither kept nor reported: only that one knows which events its caller has', t => {
	const harness = startEntry();
	harness.request({prompt, callerKey: toId<CallerKey>('began'), forwarded: {region: toId('winnipeg'), documentVersion: 1}});
	const {attempt} = harness.lastStart();
	harness.head(attempt);
	harness.step({
		type: 'attempt-events', attempt, count: 1, lastId: '1',
	});
	harness.run(controlTiming.streamReportIntervalMs + tickMs);
	t.deepEqual(sent(harness, 'streams-begun'), []);
	resume(harness);
	t.is(sent(harness, 'find-stream').length, 2);
});

test('no only software version is asked for if the stream may be older than what control remembers', t => {
	for (const [timeoutMs, asked] of [[3000, service], [controlTiming.streamRetentionMs + 1, undefined]] as const) {
		const harness = startEntry({timeoutMs});
		resume(harness);
		t.is(sent(harness, 'find-stream')[0]!.body.service, asked);
	}
});

test('a stream whose service the route no longer leads to is refused as not run', t => {
	const harness = startEntry();
	resume(harness);
	answer(harness, control, {stream: {service: toId('elsewhere'), softwareVersion: v1}});
	t.is(harness.starts().length, 0);
	t.deepEqual(harness.refusals().map(({ran}) => ran), ['no']);
});

test('control is told soon of each stream that began, and of all recent ones after it has started again', t => {
	const harness = startEntry();
	const versions = ['one', 'two'].map(callerKey => [callerKey, 'desk', begin(harness, callerKey)]);
	harness.run(controlTiming.streamReportIntervalMs + tickMs);
	t.deepEqual(sent(harness, 'streams-begun').flatMap(({body}) => body.streams as unknown[]), versions);
	harness.run(1000);
	t.is(sent(harness, 'streams-begun').length, 1);
	feed(harness, 'run-2');
	harness.run(controlTiming.streamReportIntervalMs + tickMs);
	t.deepEqual(sent(harness, 'streams-begun').at(-1)!.body.streams as unknown[], versions);
});

test('streams that began are remembered though they take all of their memory: further ones are refused as not run until there is room', t => {
	const harness = startEntry({}, new StateMemory({maxBytes: 50_000}));
	const versions = new Map<string, SoftwareVersion>();
	while (harness.refusals().length === 0 && versions.size < 1000) {
		const callerKey = `stream-${versions.size}`;
		versions.set(callerKey, begin(harness, callerKey));
	}

	t.true(versions.size > 20 && versions.size < 1000);
	t.is(harness.refusals()[0]!.ran, 'no');
	t.true(harness.refusals()[0]!.retryAfterMs! > 0);
	t.true(harness.actions.some(action => action.type === 'count' && action.name === 'clients_turned_away'));
	versions.delete(`stream-${versions.size - 1}`);
	for (const [callerKey, version] of versions) {
		resume(harness, callerKey);
		t.is(harness.lastStart().targetId as string, version === v1 ? 'a' : 'b');
	}

	t.is(harness.refusals().length, 1);
	harness.run(controlTiming.streamRetentionMs + tickMs);
	feed(harness, 'run-1');
	const refused = harness.refusals().length;
	begin(harness, 'later');
	t.is(harness.refusals().length, refused);
});

test('no stream begins while the control node that is told of them has no memory for more, and those that have begun are taken up', t => {
	const harness = startEntry();
	const version = begin(harness, 'began');
	feed(harness, 'run-1', {streamsFull: true});
	harness.request({prompt});
	t.deepEqual(harness.refusals().map(({ran}) => ran), ['no']);
	resume(harness);
	t.is(harness.lastStart().targetId as string, version === v1 ? 'a' : 'b');
	feed(harness, 'run-1');
	begin(harness, 'later');
	t.is(harness.refusals().length, 1);
});

test('streams that control can\'t be told of are forgotten once they can\'t be taken up', t => {
	const state = new StateMemory();
	const harness = new EdgeHarness({state, document: routesDocumentFixture({route: {kind: 'stream', resumable: true}, engine: true}), seeds: []});
	feed(harness, 'run-1');
	harness.run(controlTiming.followLeaseMs);
	begin(harness, 'began');
	t.true(state.budget('stream-origins').bytes > 0);
	harness.run(controlTiming.streamRetentionMs + tickMs);
	t.is(state.budget('stream-origins').bytes, 0);
});

test('a stream is never taken up at another software version, whatever control nodes answer and when', t => {
	const step = fc.constantFrom('begin', 'resume', 'answer', 'no answer', 'wait', 'other control');
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(step, {maxLength: 30}), fc.array(fc.boolean(), {minLength: 30, maxLength: 30}), (steps, draws) => {
			const harness = startEntry();
			const truth = new Map<string, SoftwareVersion>(draws.map((draw, index) => [`elsewhere-${index}`, draw ? v1 : v2]));
			for (const [index, action] of steps.entries()) {
				const query = sent(harness, 'find-stream').at(-1)?.body;
				switch (action) {
					case 'begin': {
						truth.set(`here-${index}`, begin(harness, `here-${index}`));
						break;
					}

					case 'resume': {
						const keys = [...truth.keys()];
						resume(harness, keys[(index * 7) % keys.length]);
						break;
					}

					case 'answer':
					case 'no answer': {
						const version = query && truth.get(query.callerKey);
						if (version !== undefined) {
							answer(harness, draws[index] ? control : otherControl, action === 'answer' ? {stream: begunAt(version)} : {});
						}

						break;
					}

					case 'wait': {
						harness.run(200);
						break;
					}

					case 'other control': {
						feed(harness, `run-${index}`);
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

// Longer ones outlast the time that the caller gave.
for (const standstillMs of [500, 1000, 2000]) {
	test(`a stream is taken up by an answer that waited unread while the entry stood still for ${standstillMs} ms`, t => {
		for (const waitedMs of [50, 150, 250]) {
			const harness = startEntry();
			resume(harness);
			harness.run(waitedMs);
			harness.now += standstillMs;
			harness.step({type: 'tick'});
			t.deepEqual(harness.refusals(), [], `${waitedMs} ms before`);
			answer(harness, control, {stream: begunAt(v2)});
			t.is(harness.lastStart().targetId as string, 'b');
		}
	});

	test(`a stream that nobody knows is refused in time after a standstill of ${standstillMs} ms`, t => {
		const harness = startEntry();
		resume(harness);
		harness.now += standstillMs;
		harness.step({type: 'tick'});
		harness.run(controlTiming.streamQueryTimeoutMs + tickMs);
		t.deepEqual(harness.refusals().map(({reason, ran}) => [reason, ran]), [['origin-unknown', 'no']]);
	});
}
