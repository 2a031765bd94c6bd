import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {ScheduleDriver} from './schedule-driver.ts';
import type {ScheduleStep} from './schedule-step.ts';

/** Schedules of a usual run; `SCHEDULES=1000 npx ava test/core/control/random-schedules.test.ts` runs more. */
const usualSchedules = 60;
/** Schedules with replaced nodes of a usual run. */
const usualReplacements = 20;

const node = fc.nat(4);
/** Most machines on which control nodes run: two more than vote. */
const mostMachines = 7;
const someNodes = fc.uniqueArray(node, {minLength: 1, maxLength: 2});
const step: fc.Arbitrary<ScheduleStep> = fc.oneof(
	{weight: 6, arbitrary: fc.record({type: fc.constant('run' as const), ms: fc.integer({min: 20, max: 2500})})},
	{weight: 6, arbitrary: fc.record({type: fc.constant('document' as const), node, ahead: fc.constantFrom(1, 1, 1, 3)})},
	{
		weight: 3, arbitrary: fc.record({
			type: fc.constant('evacuation' as const), node, zone: fc.nat(1), active: fc.boolean(),
		}),
	},
	{weight: 5, arbitrary: fc.record({type: fc.constant('read' as const), node})},
	{weight: 8, arbitrary: fc.record({type: fc.constantFrom('crash', 'crash', 'start', 'start', 'freeze', 'thaw', 'lose-disk'), node, survivors: fc.nat(2)})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('cut' as const), nodes: someNodes, direction: fc.constantFrom('both', 'in', 'out')})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('join' as const)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('links' as const), loss: fc.constantFrom(0, 0, 0.1, 0.3), duplicates: fc.constantFrom(0, 0.2)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('power-cut' as const), survivors: fc.nat(2), lost: fc.uniqueArray(node, {maxLength: 2})})},
);

const diskStep: fc.Arbitrary<ScheduleStep> = fc.record({type: fc.constant('disk' as const), node, full: fc.boolean()});

for (const {faults, arbitrary} of [
	{faults: 'lost messages', arbitrary: step},
	{faults: 'lost messages, and full disks', arbitrary: fc.oneof({weight: 20, arbitrary: step}, {weight: 4, arbitrary: diskStep})},
]) {
	test(`accepted changes and answered reads stay valid under random crashes, pauses, lost disks, partitions and ${faults}`, t => {
		const schedules = Number(process.env.SCHEDULES ?? usualSchedules);
		let answers = 0;
		fc.assert(fc.property(fc.nat(1_000_000), fc.array(arbitrary, {minLength: 30, maxLength: 60}), (seed, steps) => {
			const driver = new ScheduleDriver({seed});
			for (const next of steps) {
				driver.perform(next);
			}

			driver.finish();
			answers += driver.answers;
		}), {seed: Number(process.env.SCHEDULE_SEED ?? 11), numRuns: schedules});
		t.log(`${answers} answers checked in ${schedules} schedules`);
		t.true(answers > 8 * schedules);
	});
}

const replace: fc.Arbitrary<ScheduleStep> = fc.record({
	type: fc.constant('replace' as const),
	node,
	again: fc.boolean(),
	waits: fc.boolean(),
	plannedMs: fc.option(fc.integer({min: 0, max: 3000}), {nil: undefined, freq: 2}),
	afterMs: fc.constantFrom(0, 300, 1000),
	seedAgeMs: fc.constantFrom(0, 1000, 3000),
	firstSeed: fc.nat(mostMachines - 1),
});
/** Faults that a deployment must bear without a suspension of its service, as long as they are not too many at a time; a loss of power ends them. */
const bearableStep: fc.Arbitrary<ScheduleStep> = fc.oneof(
	{weight: 6, arbitrary: fc.record({type: fc.constant('run' as const), ms: fc.integer({min: 20, max: 2500})})},
	{weight: 4, arbitrary: fc.record({type: fc.constant('document' as const), node, ahead: fc.constantFrom(1, 1, 1, 3)})},
	{weight: 3, arbitrary: fc.record({type: fc.constant('read' as const), node})},
	{weight: 3, arbitrary: fc.record({type: fc.constantFrom('crash', 'start', 'freeze', 'thaw', 'lose-disk'), node, survivors: fc.nat(2)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('cut' as const), nodes: fc.uniqueArray(node, {minLength: 1, maxLength: 1}), direction: fc.constantFrom('both', 'in', 'out')})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('join' as const)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('power-cut' as const), survivors: fc.nat(2), lost: fc.uniqueArray(node, {maxLength: 2})})},
);

const machineCount = fc.constantFrom(mostMachines - 2, mostMachines);
const bearable = fc.oneof({weight: 19, arbitrary: bearableStep}, {weight: 12, arbitrary: replace});
const beyond = fc.oneof({weight: 34, arbitrary: step}, {weight: 4, arbitrary: diskStep}, {weight: 8, arbitrary: replace});

for (const {title, servesThroughout, arbitrary} of [
	{title: 'two losses at a time', servesThroughout: true, arbitrary: bearable},
	{title: 'more losses, of no more than two disks at a time', servesThroughout: false, arbitrary: beyond},
]) {
	// Guards against a log that ends, or loses changes, where control nodes are replaced by new ones again and again.
	test(`accepted changes and answered reads stay valid while nodes are replaced for good, with ${title}`, t => {
		const schedules = Number(process.env.SCHEDULES ?? usualReplacements);
		let answers = 0;
		fc.assert(fc.property(fc.nat(1_000_000), machineCount, fc.array(arbitrary, {minLength: 30, maxLength: 60}), (seed, machines, steps) => {
			const driver = new ScheduleDriver({seed, machines, servesThroughout});
			for (const next of steps) {
				driver.perform(next);
			}

			driver.finish();
			answers += driver.answers;
		}), {seed: Number(process.env.SCHEDULE_SEED ?? 11), numRuns: schedules});
		t.log(`${answers} answers checked in ${schedules} schedules`);
		t.true(answers > 8 * schedules);
	});
}
