import {SimCluster} from '../test/fixtures/sim-cluster.ts';

/** One-way delay between any two nodes, in milliseconds. */
const linkMs = [40, 40] as const;
const settleMs = 30_000;

type BenchClusterOptions = {readonly members: number; readonly entries?: number; readonly seed: number; readonly syncMs: readonly [number, number]};

/** Starts a simulated cluster and runs it until it has a leader; its clock is simulated. */
export function startBenchCluster(options: BenchClusterOptions): SimCluster {
	const cluster = new SimCluster({...options, delayMs: linkMs});
	for (const nodeId of cluster.nodes.keys()) {
		cluster.start(nodeId);
	}

	cluster.runUntil(() => cluster.leader() !== undefined, settleMs);
	return cluster;
}
