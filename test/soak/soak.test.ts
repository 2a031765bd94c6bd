import test from 'ava';
import {runSoak} from './run-soak.ts';
import {soakTimeline} from './soak-timeline.ts';

/** Short runs with a fixed seed each; `npm run soak` plays more and longer ones. */
const seeds = [1];
const minutes = 0.4;

for (const seed of seeds) {
	test.serial(`real processes keep their promises under random faults, seed ${seed}`, async t => {
		t.timeout(180_000);
		const report = await runSoak({seed, minutes});
		t.deepEqual(report.problems, [], `logs: ${report.folder}`);
		t.true(report.faults.length > 0);
		t.true(soakTimeline(report).endsWith('</svg>'));
	});
}
