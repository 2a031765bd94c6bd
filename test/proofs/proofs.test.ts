import os from 'node:os';
import test from 'ava';
import {ConcurrencyLimiter} from '../harness/concurrency-limiter.ts';
import {loadScenarios} from '../harness/load-scenarios.ts';
import {runScenario} from '../harness/run-scenario.ts';

/** Scenarios that run concurrently, each with about 15 processes that are mostly idle: one for every four processors. */
const processorsPerScenario = 4;
const maxConcurrentScenarios = Math.max(1, Math.floor(os.availableParallelism() / processorsPerScenario));
/** Maximum number of seeds per scenario in the tests; `npm run proofs` runs all of them. */
const seedsInTests = 2;
/** Time for one scenario from its turn on. */
const maxMinutes = 6;

const limiter = new ConcurrencyLimiter(maxConcurrentScenarios);
for (const scenario of loadScenarios()) {
	for (let seed = 1; seed <= Math.min(scenario.seeds, seedsInTests); seed++) {
		test(`${scenario.id}: ${scenario.title}, seed ${seed}`, async t => {
			const {problems, notes, summary, machine} = await limiter.run(async () => {
				t.timeout(maxMinutes * 60_000);
				return runScenario(scenario, seed);
			});
			t.log([...notes, summary, ...machine].join(' | '));
			t.deepEqual(problems, []);
		});
	}
}
