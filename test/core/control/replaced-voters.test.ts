import test from 'ava';
import {consensusTiming} from '../../../src/core/consensus/consensus-timing.ts';
import {ControlCluster} from '../../fixtures/control-cluster.ts';

const voters = 5;
const replacements = 8;
const fewSeeds = [1, 2, 3, 4];
const manySeeds = Array.from({length: 12}, (_, index) => index + 1);
/** Seeds of plays that hang on the times of elections. */
const electionSeeds = [...Array.from({length: 40}).keys()];
/** Silence of a voter that has long been found to be gone, in milliseconds. */
const silenceMs = 2000;
/** Time from the loss of a node to the start of its replacement, in milliseconds. */
const replacedAfterMs = 1000;
/** Time within which running nodes have taken the votes of one that is gone while nothing else is disturbed, in milliseconds. */
const replaceMs = 6000;
/** Time within which the successor of one that is gone must have taken its vote while another one may be lost, in milliseconds (catch-up of the first deployments). */
const catchUpMs = 4000;
/** Time after which a leader that hears nobody has lost its lease, and no other one leads yet, in milliseconds. */
const cutOffMs = consensusTiming.quorumLossMs;
/** Time for which a leader leads before it goes, in milliseconds: enough to make one change of the voters. */
const leadsMs = 500;
/** Time in which all voters have the newest configuration on their disks, in milliseconds. */
const settleMs = 1000;
/** Time within which control nodes must serve again after the last fault, in milliseconds (required recovery time of the first deployments). */
const recoveryMs = 15_000;

/** Five voters, and further nodes that have not started. */
function startCluster(seed: number, spares: number): ControlCluster {
	const cluster = new ControlCluster({nodes: voters + spares, seed, seeds: 3});
	for (let index = 0; index < voters; index++) {
		cluster.start(index, {firstStart: true});
	}

	cluster.runUntil(() => cluster.voters() === voters);
	cluster.run(1000);
	return cluster;
}

/** True if a node leads and all voters of its configuration run. */
function votersRun(cluster: ControlCluster): boolean {
	const leader = cluster.leader();
	if (leader === undefined) {
		return false;
	}

	const {consensus} = cluster.nodes[leader]!.core!.status(cluster.clock(leader));
	return consensus.voters.length === voters && consensus.voters.every(nodeId => cluster.nodes.find(node => node.nodeId === nodeId)?.core !== undefined);
}

/** Cuts the power of all nodes that run; two of them come back without their disks. */
function losePower(cluster: ControlCluster, lost: readonly number[]): void {
	const running = [...cluster.nodes.keys()].filter(index => cluster.nodes[index]!.core !== undefined);
	for (const index of running) {
		cluster.kill(index, 1);
	}

	cluster.run(1000);
	for (const index of running) {
		cluster.start(index, {emptyDisk: lost.includes(index)});
	}
}

// Guards against a group that replaces one voter that is gone by another one that is gone too. With 2500 ms, two of five are
// missing most of the time: guards against a new leader that waits for its predecessor before it has it replaced.
for (const {gapMs, seeds} of [{gapMs: 2500, seeds: manySeeds}, {gapMs: 3000, seeds: fewSeeds}, {gapMs: 5000, seeds: fewSeeds}, {gapMs: 8000, seeds: fewSeeds}]) {
	test(`voters that go for good one after another are replaced by nodes that run, ${gapMs} ms apart`, t => {
		const failed: string[] = [];
		for (const seed of seeds) {
			const cluster = startCluster(seed, replacements);
			for (let gone = 0; gone < replacements; gone++) {
				cluster.kill(gone);
				cluster.run(replacedAfterMs);
				cluster.start(voters + gone, {seeds: [gone + 1, gone + 2, gone + 3]});
				cluster.run(gapMs - replacedAfterMs);
			}

			if (!cluster.runUntil(() => votersRun(cluster), replaceMs)) {
				failed.push(`seed ${seed}: a voter is gone`);
			}

			cluster.run(settleMs);
			losePower(cluster, [replacements, replacements + 1]);
			if (!cluster.runUntil(() => votersRun(cluster), recoveryMs)) {
				failed.push(`seed ${seed}: no leader after the loss of two disks`);
			}
		}

		t.deepEqual(failed, []);
	});
}

for (const [title, lose] of [
	['goes', (cluster: ControlCluster) => {
		cluster.kill(voters);
	}],
	['loses its disk and starts again', (cluster: ControlCluster) => {
		cluster.kill(voters);
		cluster.run(replacedAfterMs);
		cluster.start(voters, {emptyDisk: true});
	}],
	['has a full disk', (cluster: ControlCluster) => {
		cluster.nodes[voters]!.full = true;
	}],
	['is cut off from the leader', (cluster: ControlCluster) => {
		cluster.setPartition([cluster.leader()!], [voters], true);
	}],
	['goes together with the leader, which starts again', (cluster: ControlCluster) => {
		const leader = cluster.leader()!;
		cluster.kill(voters);
		cluster.kill(leader, 1);
		cluster.run(replacedAfterMs);
		cluster.start(leader);
	}],
] as const) {
	// Guards against a group that waits for good for a node that was to vote and has gone.
	test(`a voter that goes for good is replaced though the first standby ${title} before it votes`, t => {
		const failed: string[] = [];
		for (const seed of fewSeeds) {
			for (let livedMs = 200; livedMs <= 400; livedMs += 20) {
				const cluster = startCluster(seed, 2);
				const gone = voters - 1;
				cluster.kill(gone);
				cluster.run(silenceMs);
				cluster.start(voters, {seeds: [0, 1, 2]});
				cluster.run(livedMs);
				lose(cluster);
				cluster.run(replacedAfterMs);
				cluster.start(voters + 1, {seeds: [0, 1, 2]});
				if (!cluster.runUntil(() => votersRun(cluster), replaceMs)) {
					failed.push(`seed ${seed}, ${livedMs} ms: a voter is gone`);
				}

				cluster.run(settleMs);
				const leader = cluster.leader();
				if (leader !== undefined && cluster.nodes[leader]!.core!.status(cluster.clock(leader)).consensus.voters.includes(cluster.nodes[voters]!.nodeId)) {
					// It voted before its disk was full and has had nothing to write since: with two more losses there is no majority.
					cluster.nodes[voters]!.full = false;
				}

				losePower(cluster, [0, 1]);
				if (!cluster.runUntil(() => votersRun(cluster), recoveryMs)) {
					failed.push(`seed ${seed}, ${livedMs} ms: no leader after the loss of two disks`);
				}
			}
		}

		t.deepEqual(failed, []);
	});
}

// Guards against a replacement that counts as two voters while it is under way: with both of them and a third one gone, there was no majority.
test('two voters go for good, and the successor of one of them goes as soon as it is to vote', t => {
	const failed: string[] = [];
	for (const seed of fewSeeds) {
		for (let beforeMs = 0; beforeMs <= 120; beforeMs += 20) {
			const cluster = startCluster(seed, 3);
			const isListed = () => cluster.nodes.some(({core}, index) => core?.status(cluster.clock(index)).consensus.voters.includes(cluster.nodes[voters]!.nodeId));
			cluster.kill(voters - 1);
			cluster.kill(voters - 2);
			cluster.start(voters, {seeds: [0, 1, 2]});
			cluster.runUntil(isListed, replaceMs);
			cluster.run(beforeMs);
			cluster.kill(voters);
			cluster.run(replacedAfterMs);
			cluster.start(voters + 1, {seeds: [0, 1, 2]});
			cluster.start(voters + 2, {seeds: [0, 1, 2]});
			if (!cluster.runUntil(() => votersRun(cluster), replaceMs)) {
				failed.push(`seed ${seed}, ${beforeMs} ms: a voter is gone`);
			}
		}
	}

	t.deepEqual(failed, []);
});

// Guards against a standby that votes and hears nothing: its own messages arrive, those of the leader don't.
test('a standby that the leader cannot reach gets no vote', t => {
	const failed: string[] = [];
	for (const seed of fewSeeds) {
		const cluster = startCluster(seed, 1);
		cluster.start(voters, {seeds: [0, 1, 2]});
		cluster.run(replaceMs);
		const leader = cluster.leader()!;
		cluster.cut.add(`${leader}>${voters}`);
		cluster.run(silenceMs);
		cluster.kill((leader + 1) % voters);
		cluster.run(recoveryMs);
		const {consensus} = cluster.nodes[leader]!.core!.status(cluster.clock(leader));
		if (consensus.role !== 'leader' || consensus.voters.includes(cluster.nodes[voters]!.nodeId)) {
			failed.push(`seed ${seed}: ${consensus.role}`);
		}
	}

	t.deepEqual(failed, []);
});

// Guards against a leader without standbys: those of its predecessor followed it only after 2 s of silence.
test('a standby follows the next leader from its election on', t => {
	const failed: string[] = [];
	for (const seed of electionSeeds) {
		const cluster = startCluster(seed, 1);
		cluster.start(voters, {seeds: [0, 1, 2]});
		cluster.run(settleMs);
		cluster.kill(cluster.leader()!);
		cluster.runUntil(() => cluster.leader() !== undefined, recoveryMs);
		cluster.run(consensusTiming.heartbeatMs);
		const leader = cluster.leader()!;
		const status = cluster.nodes[leader]!.core!.status(cluster.clock(leader)).consensus;
		if (![...status.learners, ...status.voters].includes(cluster.nodes[voters]!.nodeId)) {
			failed.push(`seed ${seed}`);
		}
	}

	t.deepEqual(failed, []);
});

// Guards against a vote that moves too late for the next loss: a new leader waited for the silence of its predecessor anew.
test('leaders that go for good one after another, each shortly after its election, leave a majority', t => {
	const failed: string[] = [];
	for (const seed of electionSeeds) {
		const cluster = startCluster(seed, replacements);
		const goneAt: number[] = [];
		for (let gone = 0; gone < replacements; gone++) {
			// Two losses at a time: a third one waits until the successor of the first has caught up.
			cluster.runUntil(() => cluster.leader() !== undefined && (gone < 2 || cluster.now >= goneAt[gone - 2]! + catchUpMs), recoveryMs);
			cluster.run(leadsMs);
			const running = [...cluster.nodes.keys()].filter(index => cluster.nodes[index]!.core !== undefined);
			cluster.kill(cluster.leader() ?? running.at(-1)!);
			goneAt.push(cluster.now);
			cluster.start(voters + gone, {seeds: running.slice(-3)});
		}

		if (!cluster.runUntil(() => votersRun(cluster), recoveryMs)) {
			failed.push(`seed ${seed}`);
		}
	}

	t.deepEqual(failed, []);
});

// Guards against a leader that hears nobody and takes the vote of one that answers, for good if the new voter goes too.
test('a leader that is cut off replaces none of the voters that answer it', t => {
	const failed: string[] = [];
	for (const seed of electionSeeds) {
		const cluster = startCluster(seed, 1);
		cluster.start(voters, {seeds: [0, 1, 2]});
		cluster.run(settleMs);
		const leader = cluster.leader()!;
		for (let other = 0; other <= voters; other++) {
			cluster.cut.add(`${other}>${leader}`);
		}

		cluster.run(cutOffMs);
		if (cluster.nodes.some(({core}, index) => core!.status(cluster.clock(index)).consensus.voters.includes(cluster.nodes[voters]!.nodeId))) {
			failed.push(`seed ${seed}`);
		}
	}

	t.deepEqual(failed, []);
});
