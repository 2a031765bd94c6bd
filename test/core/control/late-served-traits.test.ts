import test from 'ava';
import {CrashReportHandler} from '../../../src/core/control/crash-report-handler.ts';
import type {CrashId} from '../../../src/core/ids/crash-id.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {RequestTrait} from '../../../src/core/ids/request-trait.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {StateBudget} from '../../../src/core/memory/state-budget.ts';
import {TargetRegistry} from '../../../src/core/registry/target-registry.ts';
import type {RoutesCommand} from '../../../src/core/routes/routes-command.ts';
import {RoutesState} from '../../../src/core/routes/routes-state.ts';
import {RecordingOutbox} from '../../fixtures/recording-outbox.ts';

const trait = toId<RequestTrait>('part-1');
const now = 0 as Millis;

const crashes = (...names: readonly string[]): RoutesCommand => ({
	type: 'crashes',
	reports: names.map(name => ({
		crash: toId<CrashId>(name), targetId: toId<TargetId>(`engine-of-${name}`), born: 1000, sequence: 1, traits: [trait],
	})),
});

// Guards against a report that requests of a trait were served, which was held up and clears the trait of crashes that came after.
test('crashes after a trait was served stay blamed on it though the report of that arrives late', t => {
	const state = new RoutesState();
	const submitted: RoutesCommand[] = [];
	const handler = new CrashReportHandler({
		callPrefix: 'crashes-',
		ledger: state.crashes,
		registry: new TargetRegistry({reportEveryMs: 1000, regionOf: () => undefined, budget: new StateBudget(1_000_000)}),
		outbox: new RecordingOutbox(),
		submit: (_callId, command) => submitted.push(command),
		leads: () => true,
	});
	state.apply(1, crashes('first', 'second'));
	handler.handleSeen(toId<NodeId>('entry-1'), {type: 'crashes-seen', reports: [], served: [trait]}, now);
	t.is(submitted.length, 1);
	state.apply(2, crashes('third', 'fourth'));
	state.apply(3, submitted[0]!);
	t.deepEqual(state.crashes.suspects().flatMap(suspect => suspect.crashes).filter(crash => crash !== 'first' && crash !== 'second'), [toId<CrashId>('third'), toId<CrashId>('fourth')]);
});
