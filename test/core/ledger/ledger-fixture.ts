import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import type {RequestId} from '../../../src/core/ids/request-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {ClaimLedger} from '../../../src/core/ledger/claim-ledger.ts';
import type {ClaimOutcome} from '../../../src/core/ledger/claim-outcome.ts';
import type {KeeperSet} from '../../../src/core/ledger/keeper-set.ts';
import {KeeperPlacement} from '../../../src/core/ledger/keeper-placement.ts';
import type {LedgerMessage} from '../../../src/core/ledger/ledger-message.ts';
import type {LedgerRecord} from '../../../src/core/ledger/ledger-record.ts';
import type {NodeView} from '../../../src/core/membership/node-view.ts';
import {FakeNetwork} from '../../fixtures/fake-network.ts';

type Ending = 'done' | 'unknown' | 'release' | 'never';

type ClaimOptions = {
	/** How the request ends once its claim is granted. @default 'done' */
	readonly ending?: Ending;
	/** Time until the request ends, in milliseconds. @default 200 */
	readonly endMs?: number;
	readonly fingerprint?: string;
	readonly keepMs?: number;
};

type LedgerFixtureOptions = {
	readonly seed?: number;
	readonly loss?: number;
	readonly maxClaims?: number;
	readonly maxAnswerBytes?: number;
	/** One-way delay between the regions, in milliseconds. @default 30 */
	readonly farMs?: number;
	readonly writeMs?: number;
};

type Process = {
	readonly ledger: ClaimLedger;
	readonly incarnation: number;
	frozen: boolean;
	draining: boolean;
};

/** `a` has a disk, `b` and `c` have none; `x` is an entry of another region. The answer to a request is its key. */
const names = ['a', 'b', 'c', 'x'].map(name => toId<NodeId>(name));
const keepers = names.slice(0, 3);
const home = toId<KeeperSet['region']>('home');

/** Time for which a coordinator waits for a keeper to confirm a release, in milliseconds; another claim may get the key meanwhile. */
const releaseReplyTimeoutMs = 250;
/** Time for which a process at least runs on after it was asked to stop, and the longest one, in milliseconds. */
const minLeaveMs = 2500;
const maxLeaveMs = 15_000;

/** A region's keepers, an entry of another region, and a fake replicated log that decides the keeper sets. */
export function ledgerFixture({seed = 1, loss = 0, maxClaims, maxAnswerBytes, farMs = 30, writeMs}: LedgerFixtureOptions = {}) {
	const random = new SeededRandom(seed);
	const processes = new Map<NodeId, Process>();
	const cuts = new Set<string>();
	const outcomes = new Map<string, ClaimOutcome>();
	const grantedAt = new Map<string, number>();
	const endings = new Map<string, {key: string; ending: Ending; endMs: number}>();
	/** Ids of the requests that ran, by key. */
	const runs = new Map<string, string[]>();
	const problems: string[] = [];
	const placement = new KeeperPlacement();
	/** Fake replicated log: `decides` is false during an outage, `missed` is the probability that a node misses a new set. */
	const log = {decides: true, set: undefined as KeeperSet | undefined, missed: 0};
	let lastIncarnation = 1000;
	const network: FakeNetwork = new FakeNetwork({
		random,
		writeMs,
		duplicate: () => random.next() < loss,
		delay(from, to) {
			if (cuts.has(`${from}>${to}`) || random.next() < loss) {
				return undefined;
			}

			const near = from !== 'x' && to !== 'x';
			// With loss, messages are also reordered.
			return (near ? 1 : farMs) + (loss > 0 ? random.next() * random.next() * 200 : 0);
		},
	});

	const view = (nodeId: NodeId): NodeView => {
		const process = processes.get(nodeId);
		return {
			info: {
				nodeId, region: home, zone: toId(`z-${nodeId}`), roles: ['entry'], callerAddress: '', peerAddress: '', weight: 1, hasDisk: nodeId === 'a', incarnation: process?.incarnation ?? 0,
			},
			state: process && !process.frozen ? 'alive' : 'dead',
			draining: process?.draining ?? false,
			revision: 0,
			load: 0,
		};
	};

	const run = (nodeId: NodeId, ledger: ClaimLedger, requestId: RequestId) => {
		const {key, ending, endMs} = endings.get(requestId)!;
		if (ending === 'release') {
			ledger.release(requestId, network.now);
			return;
		}

		const ran = [...runs.get(key) ?? [], requestId];
		runs.set(key, ran);
		if (ran.length > 1) {
			problems.push(`${key} ran twice: ${ran.join(', ')}`);
		}

		if (ending !== 'never') {
			network.scheduleAfter(endMs, nodeId, () => {
				if (ending === 'done') {
					ledger.markDone(requestId, {status: 200, contentType: 'text/plain', body: key}, network.now);
				} else {
					ledger.markUnknown(requestId, network.now);
				}
			});
		}
	};

	const ranBefore = (key: string, time: number) => (runs.get(key) ?? []).some(requestId => grantedAt.get(requestId)! < time);

	const drain = (nodeId: NodeId, ledger: ClaimLedger) => {
		for (const {requestId, outcome} of ledger.takeOutcomes()) {
			const {key} = endings.get(requestId)!;
			if (outcomes.has(requestId)) {
				problems.push(`${requestId} has two outcomes`);
			}

			outcomes.set(requestId, outcome);
			if (outcome.type === 'granted') {
				grantedAt.set(requestId, network.now);
				run(nodeId, ledger, requestId);
			} else if (outcome.type === 'replay' && (outcome.answer.body !== key || !runs.has(key))) {
				problems.push(`${requestId} got the answer of another request`);
			} else if (outcome.type === 'unavailable' && outcome.ran === 'no' && ranBefore(key, network.now - releaseReplyTimeoutMs)) {
				problems.push(`${requestId} was refused as not run, but ${key} ran`);
			}
		}
	};

	const start = (nodeId: NodeId, {diskLost = false} = {}) => {
		if (diskLost) {
			network.disks.delete(nodeId);
		}

		lastIncarnation += 1;
		const records = network.disks.get(nodeId) as LedgerRecord[] | undefined;
		const ledger = new ClaimLedger({
			self: nodeId,
			region: nodeId === 'x' ? toId('away') : home,
			incarnation: lastIncarnation,
			hasDisk: nodeId === 'a',
			loadedJournal: {status: records ? 'intact' : 'missing', records: records ?? []},
			outbox: network.outbox(nodeId),
			membership: {node: view, nodes: () => keepers.map(name => view(name))},
			now: network.now,
			maxClaims,
			maxAnswerBytes,
		});
		processes.set(nodeId, {
			ledger, incarnation: lastIncarnation, frozen: false, draining: false,
		});
		const act = (event: (now: Millis) => void) => {
			event(network.now);
			drain(nodeId, ledger);
		};

		network.start(nodeId, {
			handle(from, message) {
				act(now => {
					ledger.handle(from, message.body as LedgerMessage, now);
				});
			},
			tick() {
				act(now => {
					ledger.tick(now);
				});
			},
			written(token) {
				act(now => {
					ledger.written(token, now);
				});
			},
			writeFailed(reason) {
				act(now => {
					ledger.writeFailed(reason, now);
				});
			},
		});
		sendSet(nodeId, 500);
	};

	const sendSet = (nodeId: NodeId, maxMs: number) => {
		const {set} = log;
		const process = processes.get(nodeId);
		if (set && process) {
			network.scheduleAfter(random.next() * maxMs, nodeId, () => {
				process.ledger.applyKeeperSet(set, network.now);
			});
		}
	};

	const stop = (nodeId: NodeId) => {
		network.stop(nodeId);
		processes.delete(nodeId);
	};

	/** Runs the network in steps; after each step the log may decide a new keeper set. */
	const advance = (ms: number) => {
		for (const end = network.now + ms; network.now < end;) {
			network.run(Math.min(250, end - network.now));
			const set = log.decides ? placement.propose({region: home, nodes: keepers.map(name => view(name)), current: log.set}, network.now) : undefined;
			if (set) {
				log.set = set;
				for (const name of names) {
					if (random.next() >= log.missed) {
						sendSet(name, 1000);
					}
				}
			}
		}
	};

	/** Asks a process to stop, and runs until it has. */
	const leave = (nodeId: NodeId) => {
		const process = processes.get(nodeId)!;
		process.draining = true;
		process.ledger.drain(network.now);
		const since = network.now;
		while (network.now - since < maxLeaveMs && (network.now - since < minLeaveMs || !process.ledger.drained(network.now))) {
			advance(50);
		}

		stop(nodeId);
	};

	let requests = 0;
	/** Starts a claim for a caller's request at an entry; returns the request's id. */
	const claim = (nodeId: NodeId, key: string, {ending = 'done', endMs = 200, fingerprint = 'f', keepMs = 86_400_000}: ClaimOptions = {}) => {
		requests += 1;
		const requestId = toId<RequestId>(`${nodeId}-${requests}`);
		endings.set(requestId, {key, ending, endMs});
		const process = processes.get(nodeId);
		if (process) {
			network.scheduleAfter(0, nodeId, () => {
				process.ledger.claim({
					requestId, scope: 'print', organisation: toId('city'), idempotencyKey: key, fingerprint, homeRegion: home, keepMs, keepBytes: 1000,
				}, network.now);
				drain(nodeId, process.ledger);
			});
		}

		return requestId;
	};

	const freeze = (nodeId: NodeId) => {
		const process = processes.get(nodeId);
		if (process) {
			process.frozen = true;
			network.freeze(nodeId);
		}
	};

	const thaw = (nodeId: NodeId) => {
		const process = processes.get(nodeId);
		if (process?.frozen) {
			process.frozen = false;
			network.thaw(nodeId);
		}
	};

	/** Starts a claim, runs for 2.5 s and returns the type of its outcome; undefined if there is none. */
	const ask = (nodeId: NodeId, key: string, options?: ClaimOptions) => {
		const requestId = claim(nodeId, key, options);
		advance(2500);
		return outcomes.get(requestId)?.type;
	};

	for (const name of names) {
		start(name);
	}

	return {
		names, network, processes, cuts, outcomes, grantedAt, runs, problems, log, start, stop, leave, freeze, thaw, advance, claim, ask,
		status: (nodeId: NodeId) => processes.get(nodeId)?.ledger.status(network.now),
	};
}
