import test from 'ava';
import {ConcurrencyLimiter} from '../harness/concurrency-limiter.ts';
import {loadScenarios} from '../harness/load-scenarios.ts';
import {runScenario} from '../harness/run-scenario.ts';

/** Scenarios that run concurrently, each with about 15 processes. */
const maxConcurrentScenarios = 3;
/** Maximum number of seeds per scenario in the tests; `npm run proofs` runs all of them. */
const seedsInTests = 2;
const maxMinutes = 14;

const limiter = new ConcurrencyLimiter(maxConcurrentScenarios);
for (const scenario of loadScenarios()) {
	for (let seed = 1; seed <= Math.min(scenario.seeds, seedsInTests); seed++) {
		test(`${scenario.id}: ${scenario.title}, seed ${seed}`, async t => {
			t.timeout(maxMinutes * 60_000);
			const {problems, notes, summary, machine} = await limiter.run(async () => runScenario(scenario, seed));
			t.log([...notes, summary, ...machine].join(' | '));
			t.deepEqual(problems, []);
		});
	}
}
