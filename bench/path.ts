import {performance} from 'node:perf_hooks';
import {Agent, request} from 'undici';
import {Launcher} from '../test/harness/launcher.ts';
import {makeInstallationSpec} from '../test/harness/make-installation-spec.ts';
import {printRows} from './print-rows.ts';

const warmUpCalls = 6000;
const calls = 3000;
/** One call at a time shows the added latency, eight at a time the throughput of one process. */
const concurrencies = [1, 8];
const streams = 1000;
const streamTokens = 200;
const megabyte = 1_048_576;

type Sample = {readonly sorted: readonly number[]; readonly totalMs: number};
type Row = Readonly<Record<string, string | number>>;
type Call = () => Promise<void>;

/**
 * Compares calls through one entry with direct calls to the stand-in targets in the same run: added latency, token throughput, memory with open streams.
 * All processes, including the measuring one, share this machine.
 */
export async function benchPath(options: {json: boolean}): Promise<unknown> {
	const spec = makeInstallationSpec({
		entriesPerRegion: 1,
		engines: 1,
		services: 1,
		proxies: false,
		operations: [
			{
				op: 'set', path: 'prairie/print', key: 'targetConcurrency', value: streams * 2,
			},
			{
				op: 'set', path: 'prairie/print', key: 'queueLimit', value: streams * 2,
			},
		],
		engineOptions: {
			capacity: 2000, 'token-ms': 1, 'prefill-ms-per-token': 0, slowdown: 0,
		},
		serviceOptions: {capacity: 2000, 'delay-ms': 0},
	});
	const launcher = await Launcher.create(spec);
	const agent = new Agent({connections: streams});
	try {
		await launcher.start();
		const node = spec.nodes[0]!;
		await waitForTargets(launcher, node.node);
		const rows: Row[] = [
			...await callRows(launcher, node.node, node.region, agent),
			...await streamRows(launcher, node.node, node.region, agent),
		];
		printRows(rows, options.json);
		return rows;
	} finally {
		await agent.destroy();
		await launcher.dispose({keepFolder: false});
	}
}

async function waitForTargets(launcher: Launcher, node: string): Promise<void> {
	for (;;) {
		const body = await launcher.get(node, '/v1/targets') as {targets?: unknown[]} | undefined; // eslint-disable-line no-await-in-loop
		if ((body?.targets?.length ?? 0) >= 2) {
			return;
		}
	}
}

async function callRows(launcher: Launcher, node: string, region: string, agent: Agent): Promise<Row[]> {
	const target = await targetAddress(launcher, node, 'pressdesk');
	const direct: Call = async () => get(agent, `http://${target}/status/1`, '');
	const throughEntry: Call = async () => get(agent, `${origin(launcher, node)}/s/pressdesk/status/1`, `${region}-home`);
	await measureCalls(direct, warmUpCalls, 8);
	await measureCalls(throughEntry, warmUpCalls, 8);
	const rows: Row[] = [];
	for (const concurrency of concurrencies) {
		/* eslint-disable no-await-in-loop */
		const directSample = await measureCalls(direct, calls, concurrency);
		const cpuBefore = await readGauge(launcher, node, 'cpu_seconds');
		const entrySample = await measureCalls(throughEntry, calls, concurrency);
		const cpuMs = (await readGauge(launcher, node, 'cpu_seconds') - cpuBefore) * 1000;
		/* eslint-enable no-await-in-loop */
		rows.push(
			{...callRow('direct', directSample), concurrency},
			{...callRow('through one entry', entrySample), concurrency, cpuMsPerCall: cpuMs / calls},
			{
				name: 'ratio (targets: p50 3, p99 4)',
				concurrency,
				p50Ms: latencyQuantile(entrySample, 0.5) / latencyQuantile(directSample, 0.5),
				p99Ms: latencyQuantile(entrySample, 0.99) / latencyQuantile(directSample, 0.99),
			},
		);
	}

	return rows;
}

function callRow(name: string, result: Sample): Row {
	return {
		name, perSecond: calls / result.totalMs * 1000, p50Ms: latencyQuantile(result, 0.5), p99Ms: latencyQuantile(result, 0.99),
	};
}

async function streamRows(launcher: Launcher, node: string, region: string, agent: Agent): Promise<Row[]> {
	const url = `${origin(launcher, node)}/v1/chat/completions`;
	const memoryBefore = await readGauge(launcher, node, 'resident_bytes');
	const cpuBefore = await readGauge(launcher, node, 'cpu_seconds');
	const startedAt = performance.now();
	const memorySampling = {open: true, peak: 0};
	const sampling = (async () => {
		while (memorySampling.open) {
			memorySampling.peak = Math.max(memorySampling.peak, await readGauge(launcher, node, 'resident_bytes')); // eslint-disable-line no-await-in-loop
		}
	})();
	const answers = await Promise.all(Array.from({length: streams}, async () => streamCompletion(agent, url, `${region}-home`)));
	const seconds = (performance.now() - startedAt) / 1000;
	memorySampling.open = false;
	await sampling;
	const cpuSeconds = await readGauge(launcher, node, 'cpu_seconds') - cpuBefore;
	const tokens = answers.reduce((sum, answer) => sum + answer.tokens, 0);
	return [{
		name: `${streams} streams`,
		whole: answers.filter(answer => answer.whole).length,
		tokensPerSecond: tokens / seconds,
		tokensPerCpuSecond: tokens / cpuSeconds,
		restMemoryMb: memoryBefore / megabyte,
		addedMemoryMb: (memorySampling.peak - memoryBefore) / megabyte,
	}];
}

function origin(launcher: Launcher, node: string): string {
	return `http://${launcher.address(node)}`;
}

async function targetAddress(launcher: Launcher, node: string, service: string): Promise<string> {
	const body = await launcher.get(node, '/v1/targets') as {targets: Array<{announcement: {service: string; address: string}}>};
	return body.targets.find(({announcement}) => announcement.service === service)!.announcement.address;
}

async function readGauge(launcher: Launcher, node: string, name: string): Promise<number> {
	const text = await launcher.get(node, '/metrics') as string;
	return Number(new RegExp(`^lovageferry_${name} (?<value>\\S+)`, 'mv').exec(text)?.groups?.value ?? Number.NaN);
}

async function get(agent: Agent, url: string, key: string): Promise<void> {
	const res = await request(url, {dispatcher: agent, headers: {authorization: `Bearer ${key}`}});
	await res.body.dump();
	if (res.statusCode !== 200) {
		throw new Error(`${url} answered ${res.statusCode}`);
	}
}

async function streamCompletion(agent: Agent, url: string, key: string): Promise<{tokens: number; whole: boolean}> {
	const res = await request(url, {
		method: 'POST',
		dispatcher: agent,
		headers: {authorization: `Bearer ${key}`, 'content-type': 'application/json', 'lovageferry-service': 'proofer'},
		body: JSON.stringify({stream: true, max_tokens: streamTokens, messages: [{role: 'user', content: 'Draft a festival banner.'}]}),
	});
	const text = await res.body.text();
	return {tokens: text.split('"content"').length - 1, whole: text.includes('[DONE]')};
}

/** Runs calls at a fixed concurrency; returns their sorted latencies and the total time, in milliseconds. */
async function measureCalls(call: Call, count: number, concurrency: number): Promise<Sample> {
	const latencies: number[] = [];
	const startedAt = performance.now();
	const worker = async () => {
		while (latencies.length < count) {
			const calledAt = performance.now();
			await call(); // eslint-disable-line no-await-in-loop
			latencies.push(performance.now() - calledAt);
		}
	};

	await Promise.all(Array.from({length: concurrency}, worker));
	return {sorted: latencies.toSorted((left, right) => left - right), totalMs: performance.now() - startedAt};
}

function latencyQuantile(sample: Sample, quantile: number): number {
	return sample.sorted[Math.min(sample.sorted.length - 1, Math.floor(sample.sorted.length * quantile))]!;
}
