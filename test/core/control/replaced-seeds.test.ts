import test from 'ava';
import {FollowedControl} from '../../fixtures/followed-control.ts';

/** Bounds of the first deployments, in milliseconds: for a change to be in force, for a machine to catch up, and for the core to count as stable again. */
const applyMs = 3000;
const catchUpMs = 4000;
const stabilityWindowMs = 5000;
const changeEveryMs = 700;
const cutMs = 30_000;
const nodeCount = 8;
const entryCount = 6;

for (const seed of [2, 18, 27]) {
	test(`accepted versions are in force at entries whose seeds are replaced and whose control node is cut off from the others, seed ${seed}`, t => {
		const deployment = new FollowedControl({seed, nodes: nodeCount, entries: entryCount});
		const {cluster, entries} = deployment;
		const initial = [0, 1, 2, 3, 4];
		for (const index of initial) {
			cluster.start(index, {firstStart: true});
		}

		deployment.startEntries();
		cluster.runUntil(() => deployment.accept(0, 1), 20_000);
		for (const gone of [0, 1, 2]) {
			cluster.start(initial.length + gone, {emptyDisk: true});
			cluster.run(catchUpMs);
			cluster.kill(gone);
			cluster.run(2 * catchUpMs);
		}

		t.is(cluster.voters(), 5);
		const leader = cluster.leader()!;
		const cutOff = deployment.followed([...entries.keys()].find(entry => deployment.followed(entry) !== leader)!);
		cluster.setPartition([cutOff], [...cluster.nodes.keys()].filter(index => index !== cutOff), true);
		const cutAt = cluster.now;
		const acks: Array<{version: number; at: number}> = [];
		/** Entries that were late, with the newest version due and the one in force at the last time. */
		const late = new Map<string, {times: number; due: number; inForce: number}>();
		for (let version = 2; cluster.now < cutAt + cutMs; version++) {
			if (deployment.accept(leader, version)) {
				acks.push({version, at: cluster.now});
			}

			cluster.run(changeEveryMs);
			const due = Math.max(0, ...acks.filter(({at}) => cluster.now - at > applyMs).map(ack => ack.version));
			for (const [index, entry] of entries.entries()) {
				const inForce = entry.documentVersion ?? 0;
				if (cluster.now - cutAt > stabilityWindowMs && inForce < due) {
					const name = `entry ${index + 1}`;
					late.set(name, {times: (late.get(name)?.times ?? 0) + 1, due, inForce});
				}
			}
		}

		t.true(acks.length > 10, `${acks.length} versions accepted`);
		t.deepEqual(Object.fromEntries(late), {});
	});
}
