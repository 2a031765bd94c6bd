import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import type {TreeOperation} from '../src/core/tree/tree-operation.ts';
import type {InstallationSpec} from '../test/harness/installation-spec.ts';
import {Launcher} from '../test/harness/launcher.ts';
import {printRows} from './print-rows.ts';

type Row = Readonly<Record<string, string | number>>;
type ResourceUsage = {readonly cpuSeconds: number; readonly sentBytes: number; readonly receivedBytes: number; readonly residentMb: number};
type InstallationSize = {readonly regions: number; readonly nodesPerRegion: number; readonly targetsPerRegion: number};

const regionNames = ['regina-a', 'saskatoon-a', 'winnipeg-a', 'estevan-a'];
const settleMs = 8000;
const measureMs = 12_000;
const announcementIntervalMs = 1000;
const megabyte = 1_048_576;
const measuredChanges = 100;
const targetKey = 'capacity-target-key';
const installationSizes: readonly InstallationSize[] = [
	{regions: 1, nodesPerRegion: 1, targetsPerRegion: 0},

	{regions: 4, nodesPerRegion: 3, targetsPerRegion: 0},
	{regions: 4, nodesPerRegion: 6, targetsPerRegion: 0},
	{regions: 4, nodesPerRegion: 12, targetsPerRegion: 0},
	{regions: 4, nodesPerRegion: 24, targetsPerRegion: 0},
	{regions: 4, nodesPerRegion: 6, targetsPerRegion: 43},
	{regions: 4, nodesPerRegion: 6, targetsPerRegion: 172},
];
const organisationCounts = [0, 5000, 45_000];

/**
 * Measures what a node uses without requests from callers (CPU, peer traffic, memory), by number of nodes, targets and
 * organisations, and the cost of a settings change. Starts up to 96 real processes on this machine.
 */
export async function benchCapacity(options: {json: boolean}): Promise<unknown> {
	const rows: Row[] = [];
	for (const size of installationSizes) {
		rows.push(await measureSize(size)); // eslint-disable-line no-await-in-loop
		printRows(rows.slice(-1), options.json);
	}

	for (const organisations of organisationCounts) {
		rows.push(await measureTree(organisations)); // eslint-disable-line no-await-in-loop
		printRows(rows.slice(-1), options.json);
	}

	printRows(rows, options.json);
	return rows;
}

async function measureSize(size: InstallationSize): Promise<Row> {
	const spec = createSpec(size);
	const launcher = await Launcher.create(spec);
	const stop = new AbortController();
	try {
		await launcher.start();
		const announcing = announceUntilAborted(launcher, spec, size.targetsPerRegion, stop.signal);
		await sleep(settleMs);
		const row = await measureIdle(launcher, spec);
		stop.abort();
		await announcing;
		return {
			what: 'idle', nodes: spec.nodes.length, nodesPerRegion: size.nodesPerRegion, targetsPerRegion: size.targetsPerRegion, ...row,
		};
	} finally {
		stop.abort();
		await launcher.dispose({keepFolder: false});
	}
}

/** Mean over all nodes, and the maximum of a single node, during the measurement. */
async function measureIdle(launcher: Launcher, spec: InstallationSpec): Promise<Row> {
	const before = await readUsages(launcher, spec);
	await sleep(measureMs);
	const after = await readUsages(launcher, spec);
	const seconds = measureMs / 1000;
	const cpuPercents = after.map((usage, index) => (usage.cpuSeconds - before[index]!.cpuSeconds) / seconds * 100);
	const sent = after.map((usage, index) => (usage.sentBytes - before[index]!.sentBytes) / seconds / 1000);
	const received = after.map((usage, index) => (usage.receivedBytes - before[index]!.receivedBytes) / seconds / 1000);
	return {
		cpuPercent: mean(cpuPercents),
		cpuPercentMax: Math.max(...cpuPercents),
		sentKbs: mean(sent),
		sentKbsMax: Math.max(...sent),
		receivedKbs: mean(received),
		residentMb: mean(after.map(usage => usage.residentMb)),
		residentMbMax: Math.max(...after.map(usage => usage.residentMb)),
	};
}

async function measureTree(organisations: number): Promise<Row> {
	const spec = createSpec({regions: 3, nodesPerRegion: 2, targetsPerRegion: 0});
	const launcher = await Launcher.create(spec);
	try {
		await launcher.start();
		let revision = await fillTree(launcher, spec, organisations);
		await sleep(settleMs);
		const before = await readUsages(launcher, spec);
		const latencies: number[] = [];
		for (let index = 0; index < measuredChanges; index++) {
			/* eslint-disable no-await-in-loop */
			const startedAt = performance.now();
			revision = await submitChange(launcher, spec, revision + 1, [{
				op: 'set', path: 'prairie/print/proofer', key: 'deadlineMs', value: 10_000 + index,
			}]);
			latencies.push(performance.now() - startedAt);
			/* eslint-enable no-await-in-loop */
		}

		const inForceMs = await waitUntilInForce(launcher, spec, revision);
		const after = await readUsages(launcher, spec);
		const cpu = (role: 'control' | 'entry') => mean(spec.nodes.flatMap((node, index) =>
			node.roles.includes('control') === (role === 'control') ? [(after[index]!.cpuSeconds - before[index]!.cpuSeconds) * 1000 / measuredChanges] : []));
		latencies.sort((left, right) => left - right);
		return {
			what: 'tree',
			nodes: spec.nodes.length,
			organisations,
			acceptP50Ms: latencies[Math.floor(measuredChanges / 2)]!,
			acceptP99Ms: latencies[measuredChanges - 1]!,
			inForceMs,
			controlCpuMsPerChange: cpu('control'),
			entryCpuMsPerChange: cpu('entry'),
			residentMb: mean(after.map(usage => usage.residentMb)),
			residentMbMax: Math.max(...after.map(usage => usage.residentMb)),
		};
	} finally {
		await launcher.dispose({keepFolder: false});
	}
}

async function fillTree(launcher: Launcher, spec: InstallationSpec, organisations: number): Promise<number> {
	let revision = 1;
	const batchSize = 2000;
	for (let from = 0; from < organisations; from += batchSize) {
		const operations = Array.from({length: Math.min(batchSize, organisations - from)}, (_, index): TreeOperation => ({
			op: 'set', path: 'prairie', key: `callerKeys/${sha256(`key-${from + index}`)}`, value: {organisation: `organisation-${from + index}`},
		}));
		revision = await submitChange(launcher, spec, revision + 1, operations); // eslint-disable-line no-await-in-loop
	}

	return revision;
}

async function submitChange(launcher: Launcher, spec: InstallationSpec, number: number, operations: readonly TreeOperation[]): Promise<number> {
	const {body} = await launcher.change(spec.nodes[0]!.node, {changeId: `change-${number}`, number, operations});
	if (body.type !== 'accepted') {
		throw new Error(`change ${number} was not accepted: ${JSON.stringify(body)}`);
	}

	return number;
}

async function waitUntilInForce(launcher: Launcher, spec: InstallationSpec, revision: number): Promise<number> {
	const startedAt = performance.now();
	for (;;) {
		const revisions = await Promise.all(spec.nodes.map(async ({node}) => readGauge(launcher, node, 'settings_revision'))); // eslint-disable-line no-await-in-loop
		if (Math.min(...revisions) >= revision) {
			return performance.now() - startedAt;
		}

		await sleep(20); // eslint-disable-line no-await-in-loop
	}
}

function createSpec({regions, nodesPerRegion}: InstallationSize): InstallationSpec {
	const names = regionNames.slice(0, regions);
	return {
		firm: 'prairie',
		deployment: 'print',
		nodes: names.flatMap((region, regionIndex) => Array.from({length: nodesPerRegion}, (_, index) => ({
			node: `${region.slice(0, -2)}-${index + 1}`,
			region,
			zone: `${region}-${(index % 4) + 1}`,
			roles: index === 0 && regionIndex < 3 ? ['entry', 'control'] as const : ['entry'] as const,
			weight: 1,
			disk: index === 0,
		}))),
		targets: [],
		operations: [
			...['prairie', 'prairie/print', 'prairie/print/proofer', 'prairie/print/proofer/default'].map((path): TreeOperation => ({op: 'create', path})),
			{
				op: 'set', path: 'prairie/print', key: `targetKeys/${sha256(targetKey)}`, value: {name: 'targets'},
			},
		],
		proxies: false,
		regionDelayMs: 0,
		targetKey,
	};
}

/** Announces targets for which no process runs, spread over the entries of their region, and renews the announcements until aborted. */
async function announceUntilAborted(launcher: Launcher, spec: InstallationSpec, targetsPerRegion: number, stop: AbortSignal): Promise<void> {
	if (targetsPerRegion === 0) {
		return;
	}

	const agent = new Agent({connections: 4});
	for (let sequence = 1; !stop.aborted; sequence++) {
		const rounds = spec.nodes.map(async node => announceRound(launcher, agent, {
			spec, node: node.node, targetsPerRegion, sequence,
		}));
		await Promise.all([...rounds, sleep(announcementIntervalMs)]); // eslint-disable-line no-await-in-loop
	}

	await agent.destroy();
}

/** Announces one node's share of its region's targets. */
async function announceRound(
	launcher: Launcher,
	agent: Agent,
	{spec, node, targetsPerRegion, sequence}: {spec: InstallationSpec; node: string; targetsPerRegion: number; sequence: number},
): Promise<void> {
	const {region, zone} = spec.nodes.find(candidate => candidate.node === node)!;
	const regionNodes = spec.nodes.filter(other => other.region === region);
	for (let target = regionNodes.findIndex(other => other.node === node); target < targetsPerRegion; target += regionNodes.length) {
		// eslint-disable-next-line no-await-in-loop
		await announce(launcher, agent, {
			node, zone, target: `${region}-${target}`, sequence,
		});
	}
}

async function announce(launcher: Launcher, agent: Agent, options: {node: string; zone: string; target: string; sequence: number}): Promise<void> {
	const {node, zone, target, sequence} = options;
	const response = await request(`http://${launcher.address(node)}/v1/announcements`, {
		method: 'POST',
		dispatcher: agent,
		headers: {authorization: `Bearer ${targetKey}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			targetId: target,
			incarnation: 1,
			sequence,
			firm: 'prairie',
			deployment: 'print',
			service: 'proofer',
			address: '127.0.0.1:9',
			zone,
			kind: 'engine',
			state: 'serving',
			models: ['model-1'],
			capacity: 8,
			load: {running: sequence % 8, queued: 0, ageMs: 100},
			resumes: true,
		}),
	});
	await response.body.dump();
}

async function readUsages(launcher: Launcher, spec: InstallationSpec): Promise<ResourceUsage[]> {
	return Promise.all(spec.nodes.map(async ({node}) => {
		const text = await launcher.get(node, '/metrics') as string;
		return {
			cpuSeconds: parseMetric(text, 'lovageferry_cpu_seconds'),
			sentBytes: parseMetric(text, 'lovageferry_peer_bytes_total{reason="sent"}'),
			receivedBytes: parseMetric(text, 'lovageferry_peer_bytes_total{reason="received"}'),
			residentMb: parseMetric(text, 'lovageferry_resident_bytes') / megabyte,
		};
	}));
}

async function readGauge(launcher: Launcher, node: string, name: string): Promise<number> {
	return parseMetric(await launcher.get(node, '/metrics') as string ?? '', `lovageferry_${name}`);
}

function parseMetric(text: string, name: string): number {
	const line = text.split('\n').find(candidate => candidate.startsWith(`${name} `));
	return line === undefined ? 0 : Number(line.slice(name.length + 1));
}

function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function sha256(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
