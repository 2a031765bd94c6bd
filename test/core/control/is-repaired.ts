import type {ControlCluster} from '../../fixtures/control-cluster.ts';

/** True if all voters run, all other listed nodes follow the log, and all are up to date. */
export function isRepaired(cluster: ControlCluster, nodes: readonly number[], voters: number): boolean {
	const leader = cluster.leader();
	if (leader === undefined) {
		return false;
	}

	const {consensus} = cluster.nodes[leader]!.core!.status(cluster.clock(leader));
	const {commitIndex, lastIndex} = consensus;
	const listed = new Set(nodes.map(index => cluster.nodes[index]!.nodeId));
	const commitIndexes = nodes.map(index => cluster.nodes[index]!.core!.status(cluster.clock(index)).consensus.commitIndex);
	// One that was removed stays a learner for a while.
	const learners = consensus.learners.filter(nodeId => listed.has(nodeId));
	return consensus.voters.length === voters && consensus.voters.every(nodeId => listed.has(nodeId))
		&& learners.length === nodes.length - voters && commitIndex === lastIndex && commitIndexes.every(level => level === commitIndex);
}
