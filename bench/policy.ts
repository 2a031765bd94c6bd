import process from 'node:process';
import {SeededRandom} from '../src/core/common/seeded-random.ts';
import {HealthStep} from '../src/core/routing/health-step.ts';
import {CapacityStep} from '../src/core/routing/capacity-step.ts';
import {PoisonStep} from '../src/core/routing/poison-step.ts';
import {FinalDecisionStep} from '../src/core/routing/final-decision-step.ts';
import {ResidencyStep} from '../src/core/routing/residency-step.ts';
import type {RoutingStep} from '../src/core/routing/routing-step.ts';
import {TriedStep} from '../src/core/routing/tried-step.ts';
import {BaselineStep} from './baseline-step.ts';
import {policyCapacity} from './policy-capacity.ts';
import type {PolicyDeployment} from './policy-deployment.ts';
import {policyDeployments} from './policy-deployments.ts';
import {PolicyLoad} from './policy-load.ts';
import {policyReport} from './policy-report.ts';
import type {PolicyRow} from './policy-row.ts';
import {PolicyRun} from './policy-run.ts';
import type {PolicyScenario} from './policy-scenario.ts';

/** Simulated time of one run, in milliseconds: a day with its peaks, compressed. */
const durationMs = 240_000;

/** Batch size of an engine. */
const engineSlots = 16;

/** Calls to the plain services relative to requests to the engines. */
const callShare = 0.2;

const scenarios: readonly PolicyScenario[] = [
	{name: 'steady', loadShare: 0.5},
	{name: 'steady', loadShare: 0.8},
	{name: 'steady', loadShare: 0.95},
	{name: 'steady', loadShare: 1.2},
	{name: 'slow-engine', loadShare: 0.8},
	{name: 'half-region', loadShare: 0.8},
	{name: 'returning-region', loadShare: 0.8},
];

const policies = ['round-robin', 'random', 'least-in-flight', 'power-of-two', 'lovageferry'] as const;

/**
 * Compares the product's routing policy with common load-balancing policies on the same load; prints one line per run or
 * one JSON document. `only` selects runs by a part of `deployment/scenario/loadShare`, `policy` by a part of the policy's name.
 */
export function benchPolicy(options: {json: boolean; seed: number; only?: string; policy?: string}): readonly PolicyRow[] {
	const rows: PolicyRow[] = [];
	for (const deployment of policyDeployments) {
		const capacity = policyCapacity(deployment, options.seed, engineSlots);
		for (const scenario of scenarios.filter(({name, loadShare}) => `${deployment.name}/${name}/${loadShare}`.includes(options.only ?? ''))) {
			for (const policy of policies.filter(name => name.includes(options.policy ?? ''))) {
				const row = runScenario({
					deployment, capacity, scenario, policy, seed: options.seed,
				});
				rows.push(row);
				if (!options.json) {
					process.stdout.write(`${formatRow(row)}\n`);
				}
			}
		}
	}

	if (options.json) {
		process.stdout.write(`${JSON.stringify({rows})}\n`);
	}

	return rows;
}

function runScenario(options: {deployment: PolicyDeployment; capacity: ReturnType<typeof policyCapacity>; scenario: PolicyScenario; policy: typeof policies[number]; seed: number}): PolicyRow {
	const {deployment, capacity, scenario, policy, seed} = options;
	const rates = capacity.map(({requests}) => requests * scenario.loadShare);
	const items = new PolicyLoad(deployment, seed).draw(rates, sum(rates) * callShare / rates.length, durationMs);
	const run = new PolicyRun({deployment, seed, steps: entrySeed => createSteps(policy, entrySeed)});
	run.run(items, scenario, durationMs);
	return {
		deployment: deployment.name,
		scenario: scenario.name,
		loadShare: scenario.loadShare,
		policy,
		...policyReport(run.records, sum(capacity.map(({tokens}) => tokens)), durationMs),
		engineSeconds: Math.round(sum(run.engines.map(engine => engine.busyMs)) / 1000),
		recomputedPrefillTokens: sum(run.engines.map(engine => engine.recomputedTokens)),
	};
}

/** Routing steps of a policy. A baseline differs from the product only in how it chooses among the candidates; `undefined` selects the product's own steps. */
function createSteps(policy: typeof policies[number], seed: number): readonly RoutingStep[] | undefined {
	if (policy === 'lovageferry') {
		return undefined;
	}

	const random = new SeededRandom(seed);
	return [
		new ResidencyStep(),
		new HealthStep(),
		new TriedStep(),
		new PoisonStep(),
		new CapacityStep({queueShare: 0}),
		new BaselineStep({name: policy, random}),
		new FinalDecisionStep({random}),
	];
}

function formatRow(row: PolicyRow): string {
	const refusals = Object.entries(row.refusals).map(([reason, count]) => `${reason} ${count}`).join(', ');
	return [
		`${row.deployment} ${row.scenario} ${row.loadShare}`.padEnd(30),
		row.policy.padEnd(16),
		`ttft ${row.p50TtftMs}/${row.p99TtftMs} ms`.padEnd(22),
		`whole ${row.p50WholeMs}/${row.p99WholeMs} ms`.padEnd(26),
		`engines ${row.engineSeconds} s`.padEnd(17),
		`recomputed ${row.recomputedPrefillTokens}`.padEnd(20),
		`away ${(row.awayShare * 100).toFixed(2)}%`.padEnd(13),
		`goodput ${row.goodputShare}`.padEnd(15),
		`jain ${row.jain}`.padEnd(12),
		refusals,
	].join(' ');
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
