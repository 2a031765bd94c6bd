import test from 'ava';
import {runSoak} from './run-soak.ts';
import {soakTimeline} from './soak-timeline.ts';

/** Seeds of the short runs in the tests; `npm run soak` makes more and longer runs. */
const seeds = [1];
const minutes = 0.4;

for (const seed of seeds) {
	test.serial(`no check of a soak on real processes fails under random faults, seed ${seed}`, async t => {
		t.timeout(180_000);
		const report = await runSoak({seed, minutes});
		const faults = report.faults.map(({name, at, forMs}) => `${(at / 1000).toFixed(1)} s, for ${(forMs / 1000).toFixed(1)} s: ${name}`);
		t.deepEqual(report.problems, [], `logs: ${report.folder}; ${report.machine.join('')}; ${faults.join('; ')}`);
		t.true(report.faults.length > 0);
		t.true(soakTimeline(report).endsWith('</svg>'));
	});
}
