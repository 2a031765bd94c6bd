import process from 'node:process';
import type {ServiceSummary} from '../src/core/targets/service-summary.ts';
import {regionFixture} from '../test/core/membership/region-fixture.ts';
import {printRows} from './print-rows.ts';

type BenchMembershipOptions = {
	readonly json?: boolean;
	readonly seed?: number;
	/** Nodes per region, one row each. @default [5, 20, 50, 85] */
	readonly sizes?: readonly number[];
	/** Number of regions. @default 4 */
	readonly regions?: number;
};

const warmUpMs = 15_000;
const measuredMs = 10_000;
/** Number of nodes that are frozen, one at a time, to measure failure detection. */
const frozenNodes = 6;

/** Load summaries of ten services, as every node reports them. */
const services: readonly ServiceSummary[] = Array.from({length: 10}, (_, index) => ({
	firm: 'prairie', deployment: 'print', service: `service-${index}`, models: [`model-${index}`], targets: 17, capacity: 1088, running: 640, queued: 32, typicalMs: 31.5,
}));

/** Measures the cost of membership per node and the time to detect a frozen or draining node; runs the core on a simulated network and clock. */
export function benchMembership({json = false, seed = 1, sizes = [5, 20, 50, 85], regions = 4}: BenchMembershipOptions = {}) {
	const rows = sizes.map(size => measure(size, regions, seed));
	printRows(rows, json);
	return rows;
}

function measure(nodesPerRegion: number, regions: number, seed: number) {
	const fixture = regionFixture({
		regions, nodesPerRegion, seed, loss: 0.01,
	});
	for (const part of fixture.parts.values()) {
		part.report({
			revision: 1, load: 0.5, draining: false, services,
		});
	}

	fixture.network.run(warmUpMs);
	const cpu = measureCpu(fixture);
	const traffic = measureTraffic(fixture);
	const detection = measureDetection(fixture);
	return {
		regions, nodesPerRegion, ...traffic, ...cpu, ...detection,
	};
}

/** CPU time per node and simulated second; messages are not encoded meanwhile. */
function measureCpu({network, parts}: ReturnType<typeof regionFixture>) {
	const before = process.cpuUsage();
	network.run(measuredMs);
	const {user, system} = process.cpuUsage(before);
	const milliseconds = (user + system) / 1000 / parts.size / (measuredMs / 1000);
	return {cpuMsPerSecond: milliseconds, cpuPercent: milliseconds / 10};
}

function measureTraffic({network}: ReturnType<typeof regionFixture>) {
	network.countBytes = true;
	network.run(measuredMs);
	network.countBytes = false;
	const sent = [...network.sent.values()];
	const perSecond = (total: number) => total / (measuredMs / 1000);
	return {
		messagesPerSecond: perSecond(sum(sent.map(({messages}) => messages)) / sent.length),
		bytesPerSecond: Math.round(perSecond(sum(sent.map(({bytes}) => bytes)) / sent.length)),
		maxBytesPerSecond: Math.round(perSecond(Math.max(...sent.map(({bytes}) => bytes)))),
	};
}

function measureDetection({network, infos, parts, seenAlive, others}: ReturnType<typeof regionFixture>) {
	const times: number[] = [];
	for (let index = 0; index < frozenNodes; index++) {
		const {nodeId} = infos[Math.floor((index + 0.5) * infos.length / frozenNodes)]!;
		const frozenAt = network.now;
		network.freeze(nodeId);
		network.run(10_000, () => seenAlive(nodeId) === 0);
		times.push(network.now - frozenAt);
		network.run(2000);
		network.thaw(nodeId);
		network.run(4000);
	}

	const {nodeId} = infos[0]!;
	const startedAt = network.now;
	parts.get(nodeId)!.report({
		revision: 1, load: 0.5, draining: true, services,
	});
	network.run(10_000, () => others(nodeId).every(part => part.node(nodeId)?.draining));
	times.sort((a, b) => a - b);
	return {
		frozenMedianMs: Math.round(times[times.length >> 1]!), frozenMaxMs: Math.round(times.at(-1)!), drainingMs: Math.round(network.now - startedAt),
	};
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
