import process from 'node:process';
import {printRows} from './print-rows.ts';
import {measureAcceptance} from './state-acceptance.ts';
import {measureIdle} from './state-idle.ts';
import {measureRecovery} from './state-recovery.ts';
import type {StateRow} from './state-row.ts';
import {measurePropagation} from './state-propagation.ts';
import {measureSync} from './state-sync.ts';
import {measureTreeSize} from './state-tree-size.ts';

type BenchStateOptions = {
	/** Prints one JSON document instead of tables. @default false */
	readonly json?: boolean;
	/** Seed of the simulations. @default 1 */
	readonly seed?: number;
};

/**
 * Measures the replicated state: log, settings tree and journal. Members and links are simulated with a one-way delay of 40 ms;
 * a simulated sync takes between the median and the 99th percentile of the real syncs measured on this machine.
 */
export async function benchState({json = false, seed = 1}: BenchStateOptions = {}): Promise<readonly StateRow[]> {
	const sync = await measureSync();
	const {p50Ms, p99Ms} = sync[0] as {p50Ms: number; p99Ms: number};
	const options = {seed, syncMs: [p50Ms, p99Ms] as const};
	const tables = [sync, measureTreeSize(), measureAcceptance(options), measurePropagation(options), measureIdle(options), measureRecovery(options)];
	if (json) {
		printRows(tables.flat(), true);
		return tables.flat();
	}

	for (const table of tables) {
		printRows(table, false);
		process.stdout.write('\n');
	}

	return tables.flat();
}
