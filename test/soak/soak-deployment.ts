import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {request} from 'undici';
import type {Random} from '../../src/core/common/random.ts';
import {PlatformEngine} from '../fakes/platform-engine.ts';
import {bundle} from '../harness/bundle.ts';
import {Links} from '../harness/links.ts';
import {PortBlock} from '../harness/port-block.ts';
import {SoakNode} from './soak-node.ts';
import type {SoakService} from './soak-service.ts';

type SoakEngine = {readonly engine: PlatformEngine; readonly service: SoakService; readonly region: string; sequence: number};

type NodePlan = Pick<ConstructorParameters<typeof SoakNode>[0], 'name' | 'role' | 'region' | 'ip'>;

const regions = ['regina', 'saskatoon', 'winnipeg'];
/** Regions of the control nodes; the settings list the first three as seeds. */
const controlRegions = ['regina', 'saskatoon', 'winnipeg', 'regina', 'saskatoon'];
const controlSeedCount = 3;
const enginesPerRegion = 2;
/** Duration of a call and interval between two events of a stream, in milliseconds. */
const workMs = 25;
const reportEveryMs = 300;
const regionDelayMs = 15;
const callTimeoutMs = 2500;

/** A deployment with a routes document that runs in real processes; each link between two nodes goes through a fault proxy. */
export class SoakDeployment {
	static async create(options: {entriesPerRegion: number; random: Random}): Promise<SoakDeployment> {
		const deployment = new SoakDeployment(options.random, await PortBlock.reserve());
		await deployment.#prepare(options.entriesPerRegion);
		return deployment;
	}

	readonly regions = regions;
	readonly nodes: SoakNode[] = [];
	readonly engines: SoakEngine[] = [];
	/** Engines that only probes use; no fault is drawn for them. */
	readonly probedEngines: SoakEngine[] = [];
	readonly links: Links;
	/** Folder of the processes' settings, logs and data. */
	readonly folder = mkdtempSync(path.join(tmpdir(), 'lovageferry-soak-'));
	readonly #random: Random;
	readonly #ports: PortBlock;
	#reportTimer: NodeJS.Timeout | undefined;

	private constructor(random: Random, ports: PortBlock) {
		this.#random = random;
		this.#ports = ports;
		this.links = new Links(ports);
	}

	get control(): readonly SoakNode[] {
		return this.nodes.filter(({role}) => role === 'control');
	}

	get entries(): readonly SoakNode[] {
		return this.nodes.filter(({role}) => role === 'entry');
	}

	async start(): Promise<void> {
		for (const node of this.nodes) {
			node.start();
		}

		this.#reportTimer = setInterval(() => {
			void this.#reportInstances();
		}, reportEveryMs);
	}

	/** Sends an operator's request to a control node; undefined if it fails without an HTTP answer. */
	async callOperatorApi(node: SoakNode, method: 'GET' | 'PUT' | 'POST' | 'DELETE', callPath: string, body?: string): Promise<{status: number; text: string} | undefined> {
		try {
			const res = await request(`http://${node.address('operators')}${callPath}`, {
				method, body, headersTimeout: callTimeoutMs, bodyTimeout: callTimeoutMs,
			});
			return {status: res.statusCode, text: await res.body.text()};
		} catch {
			// The process is down, frozen or starting.
			return undefined;
		}
	}

	/** Requests that reached targets, by their callers' identifiers; times by `performance.now()`. */
	get arrivals(): ReadonlyArray<{readonly service: SoakService; readonly key: string; readonly at: number}> {
		return this.engines.flatMap(({engine, service}) => engine.receivedRequests.map(({headers, receivedAt}) => ({service, key: String(headers['request-identifier']), at: receivedAt})));
	}

	/** Number of runs of a request over all targets. */
	runsOf(requestId: string): number {
		return this.engines.reduce((sum, {engine}) => sum + (engine.runs.get(requestId) ?? 0), 0);
	}

	/** Kills the processes, closes engines and proxies, and deletes the folder unless `keepFolder` is set. */
	async dispose(options: {keepFolder: boolean}): Promise<void> {
		clearInterval(this.#reportTimer);
		await Promise.all(this.nodes.map(async node => node.end('SIGKILL')));
		await Promise.all([...this.engines, ...this.probedEngines].map(async ({engine}) => engine.close()));
		this.links.close();
		this.#ports.release();
		if (!options.keepFolder) {
			rmSync(this.folder, {recursive: true, force: true, maxRetries: 3});
		}
	}

	async #prepare(entriesPerRegion: number): Promise<void> {
		const ports = {
			callers: this.#ports.next(), readiness: this.#ports.next(), operators: this.#ports.next(), directory: this.#ports.next(), internal: this.#ports.next(),
		};
		// Reserves the rest of the range of internal ports.
		for (let count = 0; count < 5; count++) {
			this.#ports.next();
		}

		const program = await bundle('platform/main.ts');
		const plans: NodePlan[] = [
			...controlRegions.map((region, index) => ({
				name: `control-${index + 1}`, role: 'control' as const, region, ip: `127.0.1.${index + 1}`,
			})),
			...regions.flatMap((region, at) => Array.from({length: entriesPerRegion}, (_, index) => ({
				name: `${region}-${index + 1}`, role: 'entry' as const, region, ip: `127.0.2.${(at * entriesPerRegion) + index + 1}`,
			}))),
		];
		const seeds = plans.slice(0, controlSeedCount).map(({ip}) => `${ip}:${ports.operators}`);
		for (const plan of plans) {
			const forwards = await this.#addPeerProxies(plan, plans, ports); // eslint-disable-line no-await-in-loop
			this.nodes.push(new SoakNode({
				...plan, folder: this.folder, program, ports, seeds, regions, forwards,
			}));
		}

		for (const region of regions) {
			for (const service of ['desk', 'writers'] as const) {
				for (let index = 1; index <= enginesPerRegion; index++) {
					const engine = new PlatformEngine(`${region}-${service}-${index}`, workMs);
					// Two software versions serve side by side in each region.
					engine.softwareVersion = `v${index}`;
					await engine.listen(); // eslint-disable-line no-await-in-loop
					this.engines.push({
						engine, service, region, sequence: 0,
					});
				}
			}

			const engine = new PlatformEngine(`${region}-press-1`);
			await engine.listen(); // eslint-disable-line no-await-in-loop
			this.probedEngines.push({
				engine, service: 'press', region, sequence: 0,
			});
		}
	}

	/** Opens a proxy for each peer address that a node may connect to; returns the addresses of the proxies by the peer's own address. */
	async #addPeerProxies(from: NodePlan, plans: readonly NodePlan[], ports: ConstructorParameters<typeof SoakNode>[0]['ports']): Promise<Record<string, string>> {
		const forwards: Record<string, string> = {};
		for (const to of plans.filter(plan => plan !== from)) {
			for (const address of SoakNode.peerAddresses({...to, ports})) {
				const [host, port] = address.split(':');
				const delayMs = from.region === to.region ? 0 : regionDelayMs;
				forwards[address] = `127.0.0.1:${await this.links.add(from.name, to.name, Number(port), {of: 'peers', delayMs, host})}`; // eslint-disable-line no-await-in-loop
			}
		}

		return forwards;
	}

	/** Registers each target with a random control node that runs. */
	async #reportInstances(): Promise<void> {
		const control = this.control.filter(({up}) => up);
		const node = control[Math.floor(this.#random.next() * control.length)];
		if (node === undefined) {
			return;
		}

		await Promise.all([...this.engines, ...this.probedEngines].map(async target => {
			target.sequence += 1;
			const {engine: {identifier, address, softwareVersion}, service, region, sequence} = target;
			await this.callOperatorApi(node, 'PUT', `/instances/${identifier}`, JSON.stringify({
				service, address, zone: `${region}-a`, version: softwareVersion, slots: 8, state: 'ready', 'cold-remaining-ms': 0, born: 1000, sequence,
			}));
		}));
	}
}
