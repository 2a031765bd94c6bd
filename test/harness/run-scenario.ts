import process from 'node:process';
import {SeededRandom} from '../../src/core/common/seeded-random.ts';
import {checkInvariants} from './check-invariants.ts';
import {checkScenario} from './check-scenario.ts';
import {describeMachine} from './describe-machine.ts';
import {Launcher} from './launcher.ts';
import {makeInstallationSpec} from './make-installation-spec.ts';
import {groupBy} from './group-by.ts';
import type {RunState} from './run-state.ts';
import type {Scenario} from './scenario.ts';
import {SettingsMonitor} from './settings-monitor.ts';
import {StepRunner} from './step-runner.ts';

type ScenarioResult = {
	/** Failed checks; empty if the scenario passed. */
	readonly problems: readonly string[];
	readonly notes: readonly string[];
	/** Folder of settings, data and logs; deleted unless there were problems or `KEEP_LOGS` is set. */
	readonly folder: string;
	readonly summary: string;
	/** What the machine did to the processes, if a check failed. */
	readonly machine: readonly string[];
};

/** Runs one scenario with one seed on a separate installation. */
export async function runScenario(scenario: Scenario, seed: number): Promise<ScenarioResult> {
	const launcher = await Launcher.create(makeInstallationSpec(scenario.installation));
	const monitor = new SettingsMonitor(launcher);
	const state: RunState = {
		launcher, monitor, records: [], problems: [], notes: [], narrowings: [],
	};
	try {
		await launcher.start();
		monitor.start();
		const steps = new StepRunner(state, new SeededRandom(seed));
		await steps.run(scenario.steps);
		await steps.waitForLoads(['all']);
		state.problems.push(...await checkScenario(state, scenario.checks), ...checkInvariants(state));
	} catch (error) {
		state.problems.push(`the run broke off: ${(error as Error).message}`);
	} finally {
		monitor.stop();
	}

	const machine = state.problems.length > 0 ? [describeMachine(launcher.processes)] : [];
	const keepFolder = state.problems.length > 0 || process.env.KEEP_LOGS !== undefined;
	await launcher.dispose({keepFolder});
	return {
		problems: state.problems, notes: state.notes, folder: launcher.folder, summary: summarise(state), machine,
	};
}

function summarise({records}: RunState): string {
	const outcomes = groupBy(records, ({load, outcome, result}) => [load, outcome, result].filter(Boolean).join(' '));
	return [...outcomes].map(([name, {length}]) => `${name}: ${length}`).join(', ');
}
