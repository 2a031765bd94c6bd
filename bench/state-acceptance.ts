import process from 'node:process';
import type {SimCluster} from '../test/fixtures/sim-cluster.ts';
import {quantile} from './quantile.ts';
import {stateChange} from './state-change.ts';
import {startBenchCluster} from './state-cluster.ts';
import type {StateRow} from './state-row.ts';

type Options = {readonly seed: number; readonly syncMs: readonly [number, number]};

const changes = {oneAtATime: 40, many: 3000};
const inFlight = 256;

/** Measures accepted changes per second and the latency of acceptance at the leader; one member is the baseline without replication. */
export function measureAcceptance(options: Options): StateRow[] {
	const rows: StateRow[] = [];
	for (const members of [1, 3, 5]) {
		for (const [count, window] of [[changes.oneAtATime, 1], [changes.many, inFlight]] as const) {
			rows.push(measure(startBenchCluster({...options, members}), {members, count, window}));
		}
	}

	return rows;
}

function measure(cluster: SimCluster, {members, count, window}: {members: number; count: number; window: number}): StateRow {
	const leader = cluster.leader()!;
	const {state} = cluster.process(leader);
	const proposedAt: number[] = [];
	const times: number[] = [];
	const startedAt = cluster.now;
	const cpu = process.cpuUsage();
	const fillWindow = () => {
		for (let revision = times.length + 1; revision <= state.tree.revision; revision++) {
			times.push(cluster.now - proposedAt[revision - 1]!);
		}

		while (proposedAt.length < count && proposedAt.length - times.length < window) {
			proposedAt.push(cluster.now);
			cluster.act(leader, (running, now) => {
				running.member!.propose({type: 'change', change: stateChange(proposedAt.length)}, now);
			});
		}

		return times.length >= count;
	};

	cluster.runUntil(fillWindow, 600_000);
	const {user, system} = process.cpuUsage(cpu);
	return {
		measure: 'acceptance, 40 ms one way',
		members,
		inFlight: window,
		perSecond: Math.round(count / (cluster.now - startedAt) * 1000),
		p50Ms: quantile(times, 0.5),
		p99Ms: quantile(times, 0.99),
		cpuMicrosAllMembers: Math.round((user + system) / count),
	};
}
