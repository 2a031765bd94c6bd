import test from 'ava';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {StateBudget} from '../../../src/core/memory/state-budget.ts';
import {TargetRegistry} from '../../../src/core/registry/target-registry.ts';
import {targetReportFixture} from '../../fixtures/target-report-fixture.ts';

const engine = toId<TargetId>('engine-1');
const at = (ms: number) => ms as Millis;

function newRegistry(reportEveryMs = 1000): TargetRegistry {
	return new TargetRegistry({budget: new StateBudget(10_000_000), reportEveryMs, regionOf: zone => zone === 'regina-a' ? toId<Region>('regina') : undefined});
}

/** Ticks every 50 ms after `from`, up to `to`. */
function run(registry: TargetRegistry, from: number, to: number): void {
	for (let now = from + 50; now <= to; now += 50) {
		registry.tick(at(now));
	}
}

function stateOf(registry: TargetRegistry, now: number): string | undefined {
	return registry.changedSince(0, at(now)).find(({targetId}) => targetId === engine)?.state;
}

/** Passes all direct reports of one control node on to another. */
function syncReports(from: TargetRegistry, to: TargetRegistry, now: number): void {
	for (const {report, ageMs} of from.directReportsSince(0, at(now))) {
		to.recordReport(report, at(now), {direct: false, ageMs});
	}
}

test('a report after `leaving` does not revive a target, but a later incarnation does', t => {
	const registry = newRegistry();
	registry.recordReport(targetReportFixture({sequence: 5, state: 'leaving'}), at(0));
	registry.recordReport(targetReportFixture({sequence: 4}), at(10));
	registry.recordReport(targetReportFixture({sequence: 6}), at(20));
	t.is(stateOf(registry, 30), 'leaving');
	registry.recordReport(targetReportFixture({born: 2000, sequence: 1}), at(40));
	t.is(stateOf(registry, 50), 'serving');
});

test('a withdrawal received by one control node also ends the target at the node that gets its reports', t => {
	const [first, second] = [newRegistry(), newRegistry()];
	first.recordReport(targetReportFixture({sequence: 7}), at(0));
	syncReports(first, second, 10);
	second.withdraw(engine, 5000, at(20));
	syncReports(second, first, 30);
	t.is(stateOf(first, 40), 'leaving');
});

test('a report in transit while the target withdraws does not revive it', t => {
	const registry = newRegistry();
	registry.recordReport(targetReportFixture({sequence: 7}), at(0));
	registry.withdraw(engine, 5000, at(10));
	registry.recordReport(targetReportFixture({sequence: 8}), at(20));
	t.is(stateOf(registry, 30), 'leaving');
});

test('the withdrawal of an unknown target applies to its late reports', t => {
	const registry = newRegistry();
	registry.withdraw(engine, 5000, at(0));
	t.false(registry.recordReport(targetReportFixture({born: 4000, sequence: 3}), at(10)));
	t.true(registry.recordReport(targetReportFixture({born: 6000, sequence: 1}), at(20)));
});

test('of two targets with the same address the one that started later is kept', t => {
	const registry = newRegistry();
	registry.recordReport(targetReportFixture({born: 2000}), at(0));
	t.false(registry.recordReport(targetReportFixture({targetId: toId<TargetId>('engine-0'), born: 1000, sequence: 9}), at(10)));
	registry.recordReport(targetReportFixture({targetId: toId<TargetId>('engine-2'), born: 3000}), at(20));
	t.is(stateOf(registry, 30), 'leaving');
});

test('a target that stops reporting is lost, and serves again with its next report', t => {
	const registry = newRegistry();
	registry.recordReport(targetReportFixture(), at(0));
	run(registry, 0, 3500);
	t.is(stateOf(registry, 3500), 'serving');
	run(registry, 3500, 3550);
	t.is(stateOf(registry, 3550), 'lost');
	registry.recordReport(targetReportFixture({sequence: 2}), at(4100));
	t.is(stateOf(registry, 4100), 'serving');
});

test('after the evacuation of its zone ends a target counts as possibly cold until it has reported', t => {
	const registry = newRegistry();
	registry.recordReport(targetReportFixture(), at(0));
	registry.markMaybeCold(toId('regina-a'), at(100));
	const cold = (now: number) => registry.changedSince(0, at(now))[0]!.coldForMs;
	t.is(cold(110), 'unknown');
	registry.recordHeartbeat(engine, {born: 1000, sequence: 2, ageMs: 50}, at(120));
	t.is(cold(130), 'unknown');
	registry.recordReport(targetReportFixture({sequence: 3, coldMs: 3000}), at(200));
	t.is(cold(200), 3000);
});

for (const {standstillMs, reportEveryMs} of [{standstillMs: 1000, reportEveryMs: 300}, {standstillMs: 2000, reportEveryMs: 500}, {standstillMs: 5000, reportEveryMs: 1000}]) {
	test(`targets whose reports wait unread after a standstill of ${standstillMs} ms are not lost`, t => {
		const registry = newRegistry(reportEveryMs);
		registry.recordReport(targetReportFixture({sequence: 1}), at(0));
		run(registry, 0, reportEveryMs);
		const {revision} = registry;
		const woken = reportEveryMs + standstillMs;
		registry.tick(at(woken));
		t.is(stateOf(registry, woken), 'serving');
		t.is(registry.revision, revision, 'entries are told nothing');
		registry.recordReport(targetReportFixture({sequence: 2}), at(woken));
		run(registry, woken, woken + (3 * reportEveryMs));
		t.is(stateOf(registry, woken + (3 * reportEveryMs)), 'serving');
	});

	test(`a target that goes during a standstill of ${standstillMs} ms is lost within the usual time after it`, t => {
		const registry = newRegistry(reportEveryMs);
		registry.recordReport(targetReportFixture({sequence: 1}), at(0));
		run(registry, 0, 100);
		const lostAt = 100 + standstillMs + (3.5 * reportEveryMs);
		registry.tick(at(100 + standstillMs));
		run(registry, 100 + standstillMs, lostAt);
		t.is(stateOf(registry, lostAt), 'lost');
	});
}

// Guards against a lost target that entries take for serving, since it was lost once before, under the same id.
for (const {title, waitMs, returns} of [
	{
		title: 'a later incarnation, after it was forgotten',
		waitMs: 70_000,
		returns(registry: TargetRegistry, now: Millis) {
			registry.recordReport(targetReportFixture({born: 2000, sequence: 1}), now, {direct: false, ageMs: 3480});
		},
	},
	{
		title: 'a late report',
		waitMs: 10_000,
		returns(registry: TargetRegistry, now: Millis) {
			registry.recordReport(targetReportFixture({sequence: 2}), now, {direct: false, ageMs: 3480});
		},
	},
	{
		title: 'a late heartbeat',
		waitMs: 10_000,
		returns(registry: TargetRegistry, now: Millis) {
			registry.recordHeartbeat(engine, {born: 1000, sequence: 2, ageMs: 3480}, now);
		},
	},
]) {
	test(`a target that returns for a moment is listed as lost again: ${title}`, t => {
		const registry = newRegistry();
		registry.recordReport(targetReportFixture({sequence: 1}), at(0));
		for (let now = 0; now < waitMs; now += 50) {
			registry.tick(at(now));
		}

		t.not(stateOf(registry, waitMs), 'serving');
		returns(registry, at(waitMs));
		t.is(stateOf(registry, waitMs), 'serving');
		const {revision} = registry;
		registry.tick(at(waitMs + 50));
		t.deepEqual(registry.changedSince(revision, at(waitMs + 50)).map(({state}) => state), ['lost']);
	});
}

// Guards against a report that was held up between control nodes and revives a lifetime whose end another node has told.
test('a late report of a lifetime that is known only as leaving does not revive it', t => {
	const registry = newRegistry();
	registry.recordReport(targetReportFixture({born: 1000, sequence: 9}), at(0));
	registry.recordReport(targetReportFixture({born: 2000, sequence: 5, state: 'leaving'}), at(10), {direct: false});
	registry.recordReport(targetReportFixture({born: 2000, sequence: 4}), at(20), {direct: false});
	t.is(stateOf(registry, 30), 'leaving');
	registry.recordReport(targetReportFixture({born: 2000, sequence: 6}), at(40), {direct: false});
	t.is(stateOf(registry, 50), 'leaving');
	registry.recordReport(targetReportFixture({born: 3000, sequence: 1}), at(60));
	t.is(stateOf(registry, 70), 'serving');
});
