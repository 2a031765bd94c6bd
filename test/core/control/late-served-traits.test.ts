import test from 'ava';
import type {ControlMessage} from '../../../src/core/control/control-message.ts';
import type {CrashId} from '../../../src/core/ids/crash-id.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {RequestTrait} from '../../../src/core/ids/request-trait.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {ControlCluster} from '../../fixtures/control-cluster.ts';

type CrashesSeen = ControlMessage & {type: 'crashes-seen'};

const trait = toId<RequestTrait>('part-1');
const otherTrait = toId<RequestTrait>('part-2');
const entryId = toId<NodeId>('10.1.0.9:7100');
const heldUpMs = 1500;
const seeds = [1, 2, 3, 4];

const crashIds = (...names: readonly string[]): readonly CrashId[] => names.map(name => toId<CrashId>(name));
const crashes = (traits: readonly RequestTrait[], ...names: readonly string[]): CrashesSeen => ({
	type: 'crashes-seen',
	reports: crashIds(...names).map(crash => ({
		crash, targetId: toId<TargetId>(`engine-of-${crash}`), born: 1000, sequence: 1, traits,
	})),
	served: [],
});
/** Without the crashes that it knew of, as an entry of an older build reports, if there are none. */
const served = (traits: readonly RequestTrait[], ...servedCrashes: ReadonlyArray<readonly CrashId[]>): CrashesSeen => ({
	type: 'crashes-seen', reports: [], served: traits, ...servedCrashes.length > 0 && {servedCrashes},
});

/** A cluster in which `trait` is blamed for two crashes. */
function startCluster(seed: number, isHeldUp = false) {
	const suspects = new Map<NodeId, Record<RequestTrait, readonly CrashId[]>>();
	const cluster = new ControlCluster({
		nodes: 5,
		seed,
		heldUpMs: message => isHeldUp && message.part === 'control' && message.body.type === 'propose' && message.body.command.type === 'traits-served' ? heldUpMs : 0,
		deliverOutside(_to, from, message) {
			if (message.part === 'control' && message.body.type === 'feed' && message.body.crashes !== undefined) {
				suspects.set(from, Object.fromEntries(message.body.crashes.suspects.map(suspect => [suspect.trait, suspect.crashes])));
			}
		},
	});
	const send = (index: number, body: ControlMessage) => {
		cluster.step(index, {type: 'peer', from: entryId, message: {part: 'control', body}});
	};

	/** What each node tells an entry of. */
	const blamed = () => {
		suspects.clear();
		for (const index of cluster.nodes.keys()) {
			send(index, {
				type: 'follow',
				status: {
					nodeId: entryId, region: toId('regina'), zone: toId('regina-a'), address: toId('10.1.0.9:80'), relayAddress: '10.1.0.9:7101', weight: 1, state: 'ready', loads: [],
				},
				stateIndex: 0,
				once: true,
			});
		}

		return cluster.nodes.map(({nodeId}) => suspects.get(nodeId) ?? {});
	};

	cluster.startAll();
	cluster.runUntil(() => cluster.voters() === 5);
	cluster.run(1000);
	const leader = cluster.leader()!;
	const follower = [...cluster.nodes.keys()].find(index => index !== leader)!;
	send(leader, crashes([trait], 'first', 'second'));
	cluster.run(500);
	return {
		cluster, send, blamed, leader, follower,
	};
}

const everywhere = <Value>(value: Value) => Array.from({length: 5}, () => value);

// Guards against a report that requests of a trait were served, which was held up and clears the trait of crashes that came after.
test('crashes after a trait was served stay blamed on it though the report of that arrives late', t => {
	for (const seed of seeds) {
		const {cluster, send, blamed, leader, follower} = startCluster(seed, true);
		t.deepEqual(blamed(), everywhere({[trait]: crashIds('first', 'second')}), `seed ${seed}`);
		send(follower, served([trait], crashIds('first', 'second')));
		cluster.run(200);
		send(leader, crashes([trait], 'third', 'fourth'));
		cluster.run(heldUpMs + 4000);
		t.deepEqual(blamed(), everywhere({[trait]: crashIds('first', 'second', 'third', 'fourth')}), `seed ${seed}`);
	}
});

// Guards against the same where the report is held up between the entry and control.
test('a trait is not cleared of crashes that the entry did not know when requests with it were served', t => {
	for (const seed of seeds) {
		const {cluster, send, blamed, leader, follower} = startCluster(seed);
		send(leader, crashes([trait], 'third', 'fourth'));
		cluster.run(500);
		send(follower, served([trait], crashIds('first', 'second')));
		cluster.run(500);
		t.deepEqual(blamed(), everywhere({[trait]: crashIds('first', 'second', 'third', 'fourth')}), `seed ${seed}`);
	}
});

// Guards against a report that overtakes one of a crash which the leader has not committed yet.
test('a trait is not cleared of a crash whose report is on its way through the log', t => {
	for (const seed of seeds) {
		const {cluster, send, blamed, leader} = startCluster(seed);
		send(leader, crashes([trait], 'third'));
		send(leader, served([trait], crashIds('first', 'second')));
		cluster.run(500);
		t.deepEqual(blamed(), everywhere({[trait]: crashIds('first', 'second', 'third')}), `seed ${seed}`);
	}
});

// Guards against traits that stay blamed though requests with them were served, also beside one that is outdated.
test('a trait that was served is cleared of all crashes that were known then', t => {
	for (const seed of seeds) {
		const {cluster, send, blamed, leader, follower} = startCluster(seed);
		send(leader, crashes([trait, otherTrait], 'third', 'fourth'));
		cluster.run(500);
		send(follower, served([trait, otherTrait], crashIds('first', 'second'), crashIds('third', 'fourth')));
		cluster.run(500);
		t.deepEqual(blamed(), everywhere({[trait]: crashIds('first', 'second', 'third', 'fourth')}), `seed ${seed}`);
		send(follower, served([trait]));
		cluster.run(500);
		t.deepEqual(blamed(), everywhere({}), `seed ${seed}`);
	}
});
