import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {SeededRandom} from '../src/core/common/seeded-random.ts';
import type {Millis} from '../src/core/ids/millis.ts';
import type {NodeId} from '../src/core/ids/node-id.ts';
import type {TargetId} from '../src/core/ids/target-id.ts';
import {toId} from '../src/core/ids/to-id.ts';
import {PipelineRouter} from '../src/core/routing/pipeline-router.ts';
import {RegionalTargetTable} from '../src/core/targets/regional-target-table.ts';
import {announcementFixture} from '../test/fixtures/announcement-fixture.ts';
import {regionViewFixture} from '../test/fixtures/region-view-fixture.ts';
import {routeQueryFixture} from '../test/fixtures/route-query-fixture.ts';

/** Engines of one region today, of one region at the largest size, and of all regions together. */
const sizes = [43, 172, 690] as const;

/** Untimed warm-up decisions, and timed decisions. */
const warmUpDecisions = 2000;
const timedDecisions = 5000;

/** Maximum number of requests in flight; with few targets the limit is four per target. */
const maxInFlight = 400;

/** Routing decisions per second with a given number of targets. */
type DecisionRow = {
	readonly targets: number;
	readonly decisionsPerSecond: number;
	readonly microsecondsEach: number;
};

/** Measures routing decisions per second on one thread, including the bookkeeping of attempts, and the cost of each additional target. */
export function benchDecisions(options: {json: boolean; seed: number}): readonly DecisionRow[] {
	const rows = sizes.map(targets => measure(targets, options.seed));
	const first = rows[0]!;
	const last = rows.at(-1)!;
	const slope = (last.microsecondsEach - first.microsecondsEach) / (last.targets - first.targets);
	const microsecondsPerTarget = Math.round(slope * 1000) / 1000;
	if (options.json) {
		process.stdout.write(`${JSON.stringify({rows, microsecondsPerTarget})}\n`);
		return rows;
	}

	for (const row of rows) {
		process.stdout.write(`${row.targets} targets: ${row.decisionsPerSecond} decisions/s, ${row.microsecondsEach} us each\n`);
	}

	process.stdout.write(`slope: ${microsecondsPerTarget} us a target\n`);
	return rows;
}

function measure(targets: number, seed: number): DecisionRow {
	const random = new SeededRandom(seed);
	const table = createTable(targets, random);
	const router = new PipelineRouter({random});
	const inFlight: TargetId[] = [];
	const decide = (index: number): void => {
		const organisation = Math.floor(random.next() * 200);
		const prefixBlocks = Array.from({length: 16}, (_, block) => `o${organisation}-${block}`);
		const query = routeQueryFixture({
			targets: table.serving({firm: 'prairie', deployment: 'print', service: 'proofer'}, 'proof-9b', 0 as Millis),
			regions: [regionViewFixture('saskatoon-a'), regionViewFixture('winnipeg-a')],
		}, {req: {prefixBlocks, promptTokens: 1024}});
		const decision = router.choose(query);
		if (decision.type === 'target') {
			table.recordStart(decision.targetId, query.req, 0 as Millis);
			inFlight.push(decision.targetId);
		}

		if (inFlight.length > Math.min(maxInFlight, targets * 4) || index % 64 === 0) {
			finishOldest(table, inFlight);
		}
	};

	repeat(warmUpDecisions, decide);
	const startedAt = performance.now();
	repeat(timedDecisions, decide);
	const microsecondsEach = (performance.now() - startedAt) * 1000 / timedDecisions;
	return {
		targets,
		decisionsPerSecond: Math.round(1_000_000 / microsecondsEach),
		microsecondsEach: Math.round(microsecondsEach * 10) / 10,
	};
}

function createTable(targets: number, random: SeededRandom): RegionalTargetTable {
	const outbox = {
		send: () => undefined, append: () => 0, rewrite: () => 0, count: () => undefined, event: () => undefined, log: () => undefined,
	};
	const self = toId<NodeId>('entry');
	const table = new RegionalTargetTable({
		self, entries: () => [self], outbox, random, emit: () => undefined,
	});
	for (let index = 0; index < targets; index++) {
		table.announce(announcementFixture({targetId: toId<TargetId>(`engine-${index}`), capacity: 16}), 0 as Millis);
	}

	return table;
}

function finishOldest(table: RegionalTargetTable, inFlight: TargetId[]): void {
	const targetId = inFlight.shift();
	if (targetId !== undefined) {
		table.recordOutcome(targetId, {
			result: 'whole', promptTokens: 1024, cachedTokens: 512, outputTokens: 100, predictedOutputTokens: 100, firstByteMs: 100, totalMs: 1500,
		}, 0 as Millis);
	}
}

function repeat(count: number, decide: (index: number) => void): void {
	for (let index = 0; index < count; index++) {
		decide(index);
	}
}
