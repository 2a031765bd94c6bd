import type {NodeId} from '../src/core/ids/node-id.ts';
import type {SimCluster} from '../test/fixtures/sim-cluster.ts';
import {startBenchCluster} from './state-cluster.ts';
import type {StateRow} from './state-row.ts';

type Options = {readonly seed: number; readonly syncMs: readonly [number, number]};

const idleMs = 20_000;
const sizes = [[3, 6], [5, 6], [9, 6], [3, 24], [9, 48]] as const;

/** Measures the bytes per second that the settings and the log send and receive on an idle node, by size of the installation. */
export function measureIdle(options: Options): StateRow[] {
	return sizes.map(([members, entries]) => {
		const cluster = startBenchCluster({...options, members, entries});
		cluster.run(5000);
		const bytes = countBytes(cluster);
		cluster.run(idleMs);
		const rate = (nodeId: string) => Math.round((bytes.get(nodeId as NodeId) ?? 0) / (idleMs / 1000));
		const others = cluster.controlIds.filter(nodeId => nodeId !== cluster.leader());
		return {
			measure: 'idle, bytes a second sent and received',
			members,
			entries,
			leader: rate(cluster.leader()!),
			busiestFollower: Math.max(...others.map(nodeId => rate(nodeId))),
			entry: rate('e1'),
		};
	});
}

function countBytes(cluster: SimCluster): Map<NodeId, number> {
	const bytes = new Map<NodeId, number>();
	cluster.onSend = (from, to, message) => {
		const {length} = JSON.stringify(message);
		bytes.set(from, (bytes.get(from) ?? 0) + length);
		bytes.set(to, (bytes.get(to) ?? 0) + length);
	};

	return bytes;
}
