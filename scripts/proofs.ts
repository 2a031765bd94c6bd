// Runs all proofs, or the one with the given id: `npm run proofs -- [id] [--seed N] [--parallel N] [--verbose]`.
import process from 'node:process';
import {parseArgs} from 'node:util';
import {ConcurrencyLimiter} from '../test/harness/concurrency-limiter.ts';
import {loadScenarios} from '../test/harness/load-scenarios.ts';
import {runScenario} from '../test/harness/run-scenario.ts';
import type {Scenario} from '../test/harness/scenario.ts';

const {values, positionals} = parseArgs({
	allowPositionals: true,
	options: {seed: {type: 'string'}, parallel: {type: 'string', default: '2'}, verbose: {type: 'boolean', default: false}},
});
const [requestedId] = positionals;
const scenarios = loadScenarios().filter(({id}) => requestedId === undefined || id === requestedId);
const queue = scenarios.flatMap(scenario => {
	const seeds = values.seed === undefined ? Array.from({length: scenario.seeds}, (_, index) => index + 1) : [Number(values.seed)];
	return seeds.map(seed => ({scenario, seed}));
});
const failures = new Map<string, string[]>();

async function runOne({scenario, seed}: {scenario: Scenario; seed: number}): Promise<void> {
	const {
		problems, notes, folder, summary, machine,
	} = await runScenario(scenario, seed);
	failures.set(scenario.id, [...failures.get(scenario.id) ?? [], ...problems.map(problem => `${problem} [${scenario.title}, seed ${seed}]`)]);
	if (values.verbose || problems.length > 0 || notes.length > 0) {
		console.log(`  ${scenario.id} seed ${seed}: ${[...notes, summary].join(' | ')}${problems.length > 0 ? ` (logs: ${folder})` : ''}`);
	}

	for (const problem of [...problems, ...machine]) {
		console.log(`  - ${problem}`);
	}
}

if (scenarios.length === 0) {
	console.log(`no proof is called "${requestedId}"`);
	process.exitCode = 2;
} else {
	const limiter = new ConcurrencyLimiter(Number(values.parallel));
	await Promise.all(queue.map(async next => limiter.run(async () => runOne(next))));
}

for (const [id, problems] of failures) {
	console.log(problems.length === 0 ? `PROOF ${id} pass` : `PROOF ${id} fail: ${problems[0]}`);
	process.exitCode = problems.length === 0 ? process.exitCode : 1;
}
