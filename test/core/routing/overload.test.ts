import test from 'ava';
import {policyCapacity} from '../../../bench/policy-capacity.ts';
import {policyDeployments} from '../../../bench/policy-deployments.ts';
import {PolicyLoad} from '../../../bench/policy-load.ts';
import {PolicyRun} from '../../../bench/policy-run.ts';

const durationMs = 90_000;
const engineSlots = 16;
const overload = 1.2;

/** Share of the completions of one priority that were answered, without the warm-up phase. */
function answeredShare(run: PolicyRun, priority: number): number {
	const records = run.records.filter(record => record.kind === 'completion' && record.priority === priority && record.arrivedAt > 15_000);
	return records.filter(record => record.wholeAt !== undefined).length / records.length;
}

for (const deployment of policyDeployments) {
	test(`${deployment.name}: at 120% of capacity a more urgent priority is never served less than a less urgent one`, t => {
		const seed = 4;
		const rates = policyCapacity(deployment, seed, engineSlots).map(({requests}) => requests * overload);
		const run = new PolicyRun({deployment, seed, steps: () => undefined});
		run.run(new PolicyLoad(deployment, seed).draw(rates, 1, durationMs), {name: 'steady', loadShare: overload}, durationMs);
		const [first, second, last] = [2, 5, 8].map(priority => answeredShare(run, priority));
		t.log(`answered: ${first!.toFixed(3)}, ${second!.toFixed(3)}, ${last!.toFixed(3)}`);
		t.true(first! > 0.97);
		t.true(first! >= second! && second! >= last!);
		t.true(run.records.every(record => record.wholeAt !== undefined || record.refusal !== undefined));
	});
}
