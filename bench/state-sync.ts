import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {Journal} from '../src/server/journal/journal.ts';
import {quantile} from './quantile.ts';
import type {StateRow} from './state-row.ts';

const sequentialWrites = 150;
const parallelWrites = 2000;
const record = {type: 'entries', entries: [{index: 1, term: 1, text: 'x'.repeat(300)}]};

/** Measures synced journal writes on this machine's disk: latency one at a time, throughput of many at once. */
export async function measureSync(): Promise<StateRow[]> {
	const folder = await mkdtemp(path.join(tmpdir(), 'bench-state-'));
	try {
		const {journal} = await Journal.open(path.join(folder, 'journal'));
		const times: number[] = [];
		for (let write = 0; write < sequentialWrites; write++) {
			const startedAt = performance.now();
			await journal.append([record]); // eslint-disable-line no-await-in-loop
			times.push(performance.now() - startedAt);
		}

		const startedAt = performance.now();
		await Promise.all(Array.from({length: parallelWrites}, async () => journal.append([record])));
		const perSecond = parallelWrites / (performance.now() - startedAt) * 1000;
		await journal.close();
		return [
			{measure: 'synced write, one at a time', p50Ms: quantile(times, 0.5), p99Ms: quantile(times, 0.99)},
			{measure: 'synced writes, 2000 at once', perSecond: Math.round(perSecond)},
		];
	} finally {
		await rm(folder, {recursive: true, force: true});
	}
}
