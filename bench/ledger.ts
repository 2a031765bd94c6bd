import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {SeededRandom} from '../src/core/common/seeded-random.ts';
import type {Millis} from '../src/core/ids/millis.ts';
import type {NodeId} from '../src/core/ids/node-id.ts';
import {toId} from '../src/core/ids/to-id.ts';
import type {ClaimRecord} from '../src/core/ledger/claim-record.ts';
import {ClaimStore} from '../src/core/ledger/claim-store.ts';
import {ledgerFixture} from '../test/core/ledger/ledger-fixture.ts';
import {StateMemory} from '../src/core/memory/state-memory.ts';
import {measureLogLatencies} from './ledger-log.ts';
import {printRows} from './print-rows.ts';

type BenchLedgerOptions = {
	readonly json?: boolean;
	readonly seed?: number;
	/** Claims measured for each row. @default 300 */
	readonly claims?: number;
	/** One-way delay between two regions, in milliseconds. @default 40 */
	readonly farMs?: number;
	/** Time to sync a journal, in milliseconds. @default 2 */
	readonly writeMs?: number;
};

/** One-way delay between two zones of a region, in milliseconds. */
const nearMs = 1;
/** Number of claims stored to measure memory. */
const keptClaims = 50_000;

/**
 * Compares the time to claim a key at the keepers (the replicas that hold a region's claims) with the time to commit a
 * command in a replicated log, and measures the cost of a claim. Runs the core on a simulated network and clock.
 */
export function benchLedger({json = false, seed = 1, claims = 300, farMs = 40, writeMs = 2}: BenchLedgerOptions = {}) {
	const near = measureKeeperLatencies('b', {
		seed, claims, farMs, writeMs,
	});
	const far = measureKeeperLatencies('x', {
		seed, claims, farMs, writeMs,
	});
	const global = measureLogLatencies({
		members: 3, oneWayMs: farMs, writeMs, claims, seed,
	});
	const regional = measureLogLatencies({
		members: 2, oneWayMs: nearMs, writeMs, claims, seed,
	});
	const rows = [
		latencyRow('keeper set, entry of the region', near.times, 0),
		latencyRow('keeper set, entry of another region', far.times, 0),
		latencyRow('global log of 3, entry beside the leader', global, 0),
		latencyRow('global log of 3, entry elsewhere', global, 2 * farMs),
		latencyRow('log of 2 in the region, entry beside the leader', regional, 0),
		latencyRow('log of 2 in the region, entry of another region', regional, 2 * farMs),
	];
	printRows(rows, json);
	const cost = [{...near.cost, ...measureMemory()}];
	printRows(cost, json);
	return {rows, cost};
}

type LatencyOptions = Required<Pick<BenchLedgerOptions, 'seed' | 'claims' | 'farMs' | 'writeMs'>>;

function latencyRow(way: string, times: readonly number[], forwardMs: number) {
	const sorted = times.map(time => time + forwardMs).sort((a, b) => a - b);
	return {way, medianMs: sorted[sorted.length >> 1]!, p99Ms: sorted[Math.floor(sorted.length * 0.99)]!};
}

/** Claims keys at an entry one at a time and finishes each claim; returns the latencies and the cost per claim. */
function measureKeeperLatencies(entry: string, {seed, claims, farMs, writeMs}: LatencyOptions) {
	const fixture = ledgerFixture({
		seed, farMs, writeMs,
	});
	const {network, outcomes, claim, advance} = fixture;
	advance(3000);
	network.countBytes = true;
	const before = process.cpuUsage();
	const times: number[] = [];
	for (let index = 0; index < claims; index++) {
		const claimedAt = network.now;
		const requestId = claim(toId<NodeId>(entry), `key-${index}`, {endMs: 1});
		network.run(1000, () => outcomes.has(requestId));
		times.push(fixture.grantedAt.get(requestId)! - claimedAt);
		network.run(100);
	}

	const {user, system} = process.cpuUsage(before);
	const sent = [...network.sent.values()];
	const total = (pick: (node: {messages: number; bytes: number}) => number) => sent.map(node => pick(node)).reduce((a, b) => a + b, 0);
	return {
		times,
		cost: {
			messagesPerClaim: total(({messages}) => messages) / claims,
			bytesPerClaim: total(({bytes}) => bytes) / claims,
			cpuMsPerClaimAllNodes: (user + system) / 1000 / claims,
		},
	};
}

/** Heap bytes of one stored claim without an answer and with one of 1 kB. */
function measureMemory() {
	return {bytesPerKeptClaim: measureBytesPerClaim(0), bytesPerKeptClaimWithAnswer: measureBytesPerClaim(1000)};
}

function measureBytesPerClaim(answerBytes: number): number {
	const collect = exposeGarbageCollector();
	const random = new SeededRandom(1);
	collect();
	const before = process.memoryUsage().heapUsed;
	const store = new ClaimStore({budget: new StateMemory().budget('claims'), maxAnswerBytes: Number.MAX_SAFE_INTEGER});
	for (let index = 0; index < keptClaims; index++) {
		const digest = String(random.next());
		const claim = {
			key: `prairie/print/orders/city-${index % 400}\n${digest}`,
			claimId: {coordinator: toId(`entry-${index % 7}`), incarnation: 1_700_000_000_000, number: index},
			fingerprint: digest.repeat(3),
			state: 'done',
			keepMs: 86_400_000,
			ageMs: 0,
			...(answerBytes > 0 && {answer: {status: 200, contentType: 'application/json', body: digest.repeat(Math.ceil(answerBytes / digest.length))}}),
		};
		// Parsed from JSON, as a claim from a peer is.
		const text = JSON.stringify(claim);
		store.put(JSON.parse(text) as ClaimRecord, 0 as Millis);
	}

	collect();
	const bytes = (process.memoryUsage().heapUsed - before) / keptClaims;
	return store.size === keptClaims ? Math.round(bytes) : Number.NaN;
}

function exposeGarbageCollector(): () => void {
	setFlagsFromString('--expose-gc');
	return runInNewContext('gc') as () => void;
}
