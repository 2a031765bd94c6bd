import {createHash} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {TreeOperation} from '../src/core/tree/tree-operation.ts';
import {SystemState} from '../src/core/tree/system-state.ts';
import {TreeState} from '../src/core/tree/tree-state.ts';
import {quantile} from './quantile.ts';
import {stateChange} from './state-change.ts';
import type {StateRow} from './state-row.ts';

const sizes = [1000, 10_000, 45_000];
const operationsPerChange = 1000;
const measuredChanges = 300;
const historyChanges = 10_000;
const megabyte = 1_048_576;
const route = {
	firm: 'prairie', deployment: 'prod', service: 'proofer', route: 'draft',
};

/** Measures memory and time of the settings tree by number of organisations, each with one caller key. */
export function measureTreeSize(): StateRow[] {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	return [...sizes.map(size => measure(size, collect)), measureMemory(collect)];
}

/** Measures the heap used by the change outcomes and the history. Both are bounded; more changes are applied than either keeps. */
function measureMemory(collect: () => void): StateRow {
	collect();
	const before = process.memoryUsage().heapUsed;
	const state = new SystemState();
	for (let number = 1; number <= historyChanges; number++) {
		const text = JSON.stringify(stateChange(number));
		state.apply(number, {type: 'change', change: JSON.parse(text) as ReturnType<typeof stateChange>});
	}

	collect();
	const heapMb = (process.memoryUsage().heapUsed - before) / megabyte;
	return {measure: `tree after ${state.tree.revision} changes`, organisations: 0, heapMb};
}

function measure(organisations: number, collect: () => void): StateRow {
	collect();
	const before = process.memoryUsage().heapUsed;
	const state = createState(organisations);
	const first = state.tree.revision + 1;
	const applied = Array.from({length: measuredChanges}, (_, index) => timed(() => {
		const key = callerKey(organisations + index);
		state.apply(0, {type: 'change', change: stateChange(first + index, [key])});
		state.tree.route(route);
	}));
	collect();
	const heap = process.memoryUsage().heapUsed - before;
	const copy = new TreeState();
	copy.advanceTo(state.tree);
	collect();
	const copyHeap = process.memoryUsage().heapUsed - before - heap;
	let text = '';
	const snapshotMs = timed(() => {
		text = JSON.stringify(state.snapshot());
	});
	const restoreMs = timed(() => {
		new SystemState().restore(JSON.parse(text));
	});
	if (copy.revision !== state.tree.revision) {
		throw new Error(`the copy is at revision ${copy.revision}, the original at ${state.tree.revision}`);
	}

	return {
		measure: 'tree size',
		organisations,
		heapMb: heap / megabyte,
		servedCopyMb: copyHeap / megabyte,
		applyMicrosP50: quantile(applied, 0.5) * 1000,
		applyMicrosP99: quantile(applied, 0.99) * 1000,
		snapshotMb: text.length / megabyte,
		snapshotMs,
		restoreMs,
	};
}

function createState(organisations: number): SystemState {
	const state = new SystemState();
	const paths = ['prairie', 'prairie/prod', 'prairie/prod/proofer', 'prairie/prod/proofer/draft'];
	const created: TreeOperation[] = paths.map(path => ({op: 'create', path}));
	state.apply(0, {type: 'change', change: stateChange(1, created)});
	for (let from = 0, number = 2; from < organisations; from += operationsPerChange, number++) {
		const keys = Array.from({length: Math.min(operationsPerChange, organisations - from)}, (_, index) => callerKey(from + index));
		// Parsed from JSON, as a change from a journal or a peer is.
		const text = JSON.stringify(stateChange(number, keys));
		state.apply(0, {type: 'change', change: JSON.parse(text) as ReturnType<typeof stateChange>});
	}

	return state;
}

function callerKey(number: number): TreeOperation {
	const digest = createHash('sha256').update(`key ${number}`).digest('hex');
	return {
		op: 'set', path: 'prairie', key: `callerKeys/${digest}`, value: {organisation: `organisation-${number}`, weight: 1},
	};
}

function timed(action: () => void): number {
	const startedAt = performance.now();
	action();
	return performance.now() - startedAt;
}
