import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {ScheduleDriver} from './schedule-driver.ts';
import type {ScheduleStep} from './schedule-step.ts';

/** Schedules of a usual run; `SCHEDULES=1000 npx ava test/core/control/random-schedules.test.ts` runs more. */
const usualSchedules = 60;

const node = fc.nat(4);
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
			const driver = new ScheduleDriver(seed);
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
