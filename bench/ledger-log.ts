import {SeededRandom} from '../src/core/common/seeded-random.ts';
import type {ConsensusMessage} from '../src/core/consensus/consensus-message.ts';
import {RaftMember} from '../src/core/consensus/raft-member.ts';
import type {NodeId} from '../src/core/ids/node-id.ts';
import {toId} from '../src/core/ids/to-id.ts';
import {FakeNetwork} from '../test/fixtures/fake-network.ts';

type LogLatencyOptions = {
	readonly members: number;
	readonly oneWayMs: number;
	readonly writeMs: number;
	readonly claims: number;
	readonly seed: number;
};

/** Measures the milliseconds from proposing a command at the leader to its commit there, one command at a time. */
export function measureLogLatencies({members, oneWayMs, writeMs, claims, seed}: LogLatencyOptions): number[] {
	const random = new SeededRandom(seed);
	const network = new FakeNetwork({random, delay: () => oneWayMs, writeMs});
	const names = Array.from({length: members}, (_, index) => toId<NodeId>(`m${index}`));
	const rafts = names.map(name => new RaftMember<number>({
		self: name,
		storageId: toId(`folder-${name}`),
		initialMembers: names,
		loadedJournal: {status: 'missing', records: []},
		state: {
			apply: index => index,
			snapshot: () => 0,
			restore() {
				// Only commits are measured; the state isn't read.
			},
		},
		outbox: network.outbox(name),
		random: new SeededRandom(seed + Number(name.slice(1))),
	}));
	const committed = new Map<number, number>();
	for (const [index, raft] of rafts.entries()) {
		const recordCommits = (act: () => void) => {
			act();
			for (const entry of raft.takeCommitted()) {
				if (raft.leads(network.now)) {
					committed.set(entry.index, network.now);
				}
			}
		};

		network.start(names[index]!, {
			handle(from, message, now) {
				recordCommits(() => {
					raft.handle(from, message.body as ConsensusMessage, now);
				});
			},
			tick(now) {
				recordCommits(() => {
					raft.tick(now);
				});
			},
			written(token, now) {
				recordCommits(() => {
					raft.written(token, now);
				});
			},
		});
	}

	network.run(30_000, () => rafts.some(raft => raft.leads(network.now)));
	network.run(2000);
	const times: number[] = [];
	for (let claim = 0; claim < claims; claim++) {
		const proposedAt = network.now;
		const leader = rafts.find(raft => raft.leads(proposedAt));
		const index = leader?.propose({
			type: 'weight-budget', deployment: `claim-${claim}`, bytes: 0, at: 0,
		}, proposedAt);
		network.run(500);
		if (index !== undefined && committed.has(index)) {
			times.push(committed.get(index)! - proposedAt);
		}
	}

	return times;
}
