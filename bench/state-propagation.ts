import type {SimCluster} from '../test/fixtures/sim-cluster.ts';
import {quantile} from './quantile.ts';
import {stateChange} from './state-change.ts';
import {startBenchCluster} from './state-cluster.ts';
import type {StateRow} from './state-row.ts';

type Options = {readonly seed: number; readonly syncMs: readonly [number, number]};

const entries = 6;
const changes = 40;
const idleMs = 60_000;

/** Measures the time until a change submitted at an entry is in force at all nodes, and the bytes sent per change and while idle. */
export function measurePropagation(options: Options): StateRow[] {
	const cluster = startBenchCluster({...options, members: 3, entries});
	const bytes = countBytes(cluster);
	cluster.run(5000);
	bytes.clear();
	cluster.run(idleMs);
	const idleBytes = new Map(bytes);
	bytes.clear();
	const startedAt = cluster.now;
	const times = Array.from({length: changes}, (_, index) => propagateOne(cluster, index + 1));
	const seconds = (cluster.now - startedAt) / 1000;
	const rate = (name: string) => (idleBytes.get(name) ?? 0) / (idleMs / 1000);
	const perChange = (name: string) => Math.round(((bytes.get(name) ?? 0) - (rate(name) * seconds)) / changes);
	return [
		{
			measure: 'change sent at an entry, in force at 3 members and 6 entries', p50Ms: quantile(times, 0.5), p99Ms: quantile(times, 0.99),
		},
		{measure: 'settings bytes sent, idle, all nodes', bytesPerSecond: Math.round(rate('tree'))},
		{measure: 'log bytes sent, idle, all members', bytesPerSecond: Math.round(rate('consensus'))},
		{measure: 'settings bytes sent for one change, all nodes', bytes: perChange('tree')},
		{measure: 'log bytes sent for one change, all members', bytes: perChange('consensus')},
	];
}

function countBytes(cluster: SimCluster): Map<string, number> {
	const bytes = new Map<string, number>();
	cluster.onSend = (_from, _to, message) => {
		bytes.set(message.part, (bytes.get(message.part) ?? 0) + JSON.stringify(message).length);
	};

	return bytes;
}

function propagateOne(cluster: SimCluster, number: number): number {
	const sentAt = cluster.now;
	cluster.act('e1', (process, now) => {
		process.service.submit(stateChange(number), now);
	});
	cluster.runUntil(() => [...cluster.nodes.values()].every(node => node.process!.service.tree.revision >= number));
	const time = cluster.now - sentAt;
	cluster.run(500);
	return time;
}
