import process from 'node:process';
import type {SimCluster} from '../test/fixtures/sim-cluster.ts';
import {stateChange} from './state-change.ts';
import {startBenchCluster} from './state-cluster.ts';
import type {StateRow} from './state-row.ts';

type Options = {readonly seed: number; readonly syncMs: readonly [number, number]};

/** Measures how long a restarted control member and a restarted entry need to catch up with missed changes, and how long a full restart needs to elect a leader. */
export function measureRecovery(options: Options): StateRow[] {
	return [500, 5000].flatMap(changes => [
		{measure: 'control member away, level and ready', changes, ...measureCatchUp(options, changes, 'c2')},
		{measure: 'entry restarted, level and ready', changes, ...measureCatchUp(options, changes, 'e1')},
		{measure: 'all members restarted, leader again', changes, ...measureRestart(options, changes)},
	]);
}

function measureCatchUp(options: Options, changes: number, name: string): {ms: number; cpuMs: number} {
	const cluster = startBenchCluster({...options, members: 3, entries: 1});
	cluster.crash(name);
	cluster.runUntil(() => cluster.leader() !== undefined);
	acceptAll(cluster, changes);
	return timeToCatchUp(cluster, name, changes);
}

function measureRestart(options: Options, changes: number): {ms: number; cpuMs: number} {
	const cluster = startBenchCluster({...options, members: 3, entries: 1});
	acceptAll(cluster, changes);
	return timeToLeader(cluster);
}

function acceptAll(cluster: SimCluster, changes: number): void {
	const leader = cluster.leader()!;
	cluster.act(leader, (running, now) => {
		for (let number = 1; number <= changes; number++) {
			running.member!.propose({type: 'change', change: stateChange(number)}, now);
		}
	});
	cluster.runUntil(() => cluster.process(leader).state.tree.revision === changes, 120_000);
	cluster.run(2000);
}

function timeToCatchUp(cluster: SimCluster, name: string, changes: number): {ms: number; cpuMs: number} {
	return timed(cluster, () => {
		cluster.start(name);
		cluster.runUntil(() => cluster.process(name).service.tree.revision === changes && cluster.process(name).service.ready(cluster.clock(cluster.node(name))), 60_000);
	});
}

function timeToLeader(cluster: SimCluster): {ms: number; cpuMs: number} {
	return timed(cluster, () => {
		for (const name of cluster.controlIds) {
			cluster.crash(name);
			cluster.start(name);
		}

		cluster.runUntil(() => cluster.leader() !== undefined, 60_000);
	});
}

function timed(cluster: SimCluster, action: () => void): {ms: number; cpuMs: number} {
	const startedAt = cluster.now;
	const cpu = process.cpuUsage();
	action();
	const {user, system} = process.cpuUsage(cpu);
	return {ms: Math.round(cluster.now - startedAt), cpuMs: Math.round((user + system) / 1000)};
}
