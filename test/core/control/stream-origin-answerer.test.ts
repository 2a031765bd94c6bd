import test from 'ava';
import type {ControlMessage} from '../../../src/core/control/control-message.ts';
import {controlTiming} from '../../../src/core/control/control-timing.ts';
import {StreamOriginAnswerer} from '../../../src/core/control/stream-origin-answerer.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import type {ServiceName} from '../../../src/core/ids/service-name.ts';
import type {SoftwareVersion} from '../../../src/core/ids/software-version.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {StateBudget} from '../../../src/core/memory/state-budget.ts';
import {StateMemory} from '../../../src/core/memory/state-memory.ts';
import {TargetRegistry} from '../../../src/core/registry/target-registry.ts';
import {RecordingOutbox} from '../../fixtures/recording-outbox.ts';
import {targetReportFixture} from '../../fixtures/target-report-fixture.ts';

const service = toId<ServiceName>('proofer');
const v1 = toId<SoftwareVersion>('v1');
const v2 = toId<SoftwareVersion>('v2');
const entry = toId<NodeId>('10.1.0.9:7100');
const afterRetention = controlTiming.streamRetentionMs + 1;

function start({isNewDeployment = false, state = new StateMemory()} = {}) {
	const outbox = new RecordingOutbox();
	const registry = new TargetRegistry({budget: new StateBudget(10_000_000), reportEveryMs: 1000, regionOf: () => toId<Region>('regina')});
	const situation = {current: true, now: 0 as Millis};
	const answerer = new StreamOriginAnswerer({
		registry, outbox, state, isNewDeployment, isCurrent: () => situation.current,
	});
	answerer.tick(situation.now);
	return {
		situation, registry, answerer,
		report(targetId: string, softwareVersion: SoftwareVersion, address = `${targetId}:80`) {
			registry.recordReport(targetReportFixture({
				targetId: toId<TargetId>(targetId), softwareVersion, address, sequence: situation.now + 1,
			}), situation.now);
		},
		wait(ms: number) {
			situation.now = situation.now + ms as Millis;
			answerer.tick(situation.now);
			registry.tick(situation.now);
		},
		/** What an entry that asks is answered: the version where the stream began, or the only one of the service, and those that are known. */
		ask(callerKey = 'began', of: ServiceName | undefined = service) {
			answerer.answer(entry, {
				type: 'find-stream', requestId: toId('r1'), callerKey: toId(callerKey), service: of,
			}, situation.now);
			const {stream, soleVersion, versions} = outbox.sent.at(-1)!.message.body as ControlMessage & {type: 'stream-found'};
			return {stream: stream?.softwareVersion, sole: soleVersion?.softwareVersion, versions};
		},
	};
}

test('a stream that an entry reported is found until it can no longer be taken up', t => {
	const {answerer, ask, wait, situation} = start();
	answerer.handleBegun({type: 'streams-begun', streams: [[toId('began'), service, v2]]}, situation.now);
	t.is(ask().stream, v2);
	t.is(ask('another').stream, undefined);
	wait(afterRetention);
	t.is(ask().stream, undefined);
});

// Guards against origins that give way to those of later streams, while a caller may come back for them.
test('streams that were reported are found though they take all of their memory, and their entries are to let no more begin', t => {
	const state = new StateMemory({maxBytes: 50_000});
	const budget = state.budget('stream-origins');
	const {answerer, ask, situation, wait} = start({state});
	const report = (index: number) => {
		answerer.handleBegun({type: 'streams-begun', streams: [[toId(`stream-${index}`), service, index % 2 === 0 ? v1 : v2]]}, situation.now);
	};

	let inTime = 0;
	for (let index = 0; index < 2000; index++) {
		inTime += answerer.isFull ? 0 : 1;
		report(index);
	}

	t.true(inTime > 20 && inTime < 1000);
	for (let index = 0; index < 1.1 * inTime; index++) {
		t.is(ask(`stream-${index}`).stream, index % 2 === 0 ? v1 : v2);
	}

	t.true(budget.bytes < 1.3 * budget.maxBytes);
	t.deepEqual(ask('stream-1999'), {stream: undefined, sole: undefined, versions: []});
	wait(afterRetention);
	t.false(answerer.isFull);
});

// Guards against answers that grow with the versions that targets report.
test('no more versions of a service are named than show that it has several', t => {
	const {report, ask, wait} = start();
	for (let index = 0; index < 500; index++) {
		wait(1);
		report('a', toId<SoftwareVersion>(`v${index}`));
	}

	t.is(ask().versions?.length, 2);
	t.is(ask().sole, undefined);
});

test('the only software version of a service is named only after all targets that began recent streams are known', t => {
	const {report, ask, wait} = start();
	report('a', v1);
	t.is(ask().sole, undefined);
	wait(afterRetention);
	report('a', v1);
	t.is(ask().sole, v1);
	t.is(ask('began', toId<ServiceName>('desk')).sole, undefined);
});

test('the only software version is named at once when the whole deployment is new', t => {
	const {report, ask} = start({isNewDeployment: true});
	t.is(ask().sole, undefined);
	report('a', v1);
	t.is(ask().sole, v1);
	report('b', v2);
	t.is(ask().sole, undefined);
});

test('no software version is named as the only one while another serves, or served lately', t => {
	const {report, ask, wait, registry, situation} = start();
	wait(afterRetention);
	report('a', v1);
	report('b', v2);
	t.is(ask().sole, undefined);
	registry.withdraw(toId('a'), situation.now, situation.now);
	wait(controlTiming.streamRetentionMs - 1000);
	report('b', v2);
	t.is(ask().sole, undefined);
});

test('no software version is named as the only one when targets have started again under their ids with another one', t => {
	const {report, ask, wait} = start({isNewDeployment: true});
	report('a', v1);
	wait(1000);
	report('a', v2);
	t.is(ask().sole, undefined);
	for (let waited = 0; waited <= controlTiming.streamRetentionMs; waited += 1000) {
		t.is(ask().sole, undefined);
		wait(1000);
		report('a', v2);
	}

	wait(60_000);
	report('a', v2);
	t.is(ask().sole, v2);
});

test('a control node names all software versions that it knows, though it may not know all', t => {
	const {report, ask} = start();
	report('a', v1);
	report('b', v2);
	t.deepEqual(ask(), {stream: undefined, sole: undefined, versions: [v1, v2]});
});

test('a control node that may not know all targets names no only software version', t => {
	const {report, ask, wait, situation} = start();
	wait(afterRetention);
	report('a', v1);
	situation.current = false;
	t.is(ask().sole, undefined);
	situation.current = true;
	t.is(ask().sole, v1);
});
