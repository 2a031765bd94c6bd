import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {request} from 'undici';
import type {Random} from '../../src/core/common/random.ts';
import {sample} from '../../src/core/membership/sample.ts';
import {PlatformEngine} from '../fakes/platform-engine.ts';
import type {TargetRun} from '../fakes/target-run.ts';
import {bundle} from '../harness/bundle.ts';
import {groupBy} from '../harness/group-by.ts';
import {Links} from '../harness/links.ts';
import {PortBlock} from '../harness/port-block.ts';
import {SoakNode} from './soak-node.ts';
import type {SoakRefusals} from './soak-refusals.ts';
import type {SoakService} from './soak-service.ts';

type SoakEngine = {
	readonly engine: PlatformEngine;
	readonly service: SoakService;
	readonly region: string;
	sequence: number;
	/** Number of times that it took a new id. */
	newIds: number;
	/** What its reports say; none are sent for one that is gone. */
	state: 'ready' | 'draining' | 'gone';
};

type NodePlan = Pick<ConstructorParameters<typeof SoakNode>[0], 'name' | 'role' | 'region' | 'ip'> & {
	/** Number of the machine, from which the addresses of its proxies are made. */
	readonly machine: number;
};

type SoakDeploymentOptions = {
	readonly entriesPerRegion: number;
	readonly random: Random;
	/** True if all targets of a service are in one region, so that most requests are forwarded. @default false */
	readonly forwarded?: boolean;
	/** True if the connections of entries to the first targets go through fault proxies. @default false */
	readonly targetLinks?: boolean;
};

/** Proxy of an entry's connections to a target. */
type TargetProxy = {readonly identifier: string; readonly address: string; readonly port: number; readonly listenHost: string};

type ControlStatus = {readonly consensus: {readonly role: string; readonly voters: readonly string[]}};

const regions = ['regina', 'saskatoon', 'winnipeg'];
/** Regions of the control nodes; the settings list the first three as seeds. */
const controlRegions = ['regina', 'saskatoon', 'winnipeg', 'regina', 'saskatoon'];
const controlSeedCount = 3;
/** Number of addresses for control nodes, with those that are added in the course of a run. */
const maxControlNodes = 60;
/** Addresses 127.0.N.x from this N on are those of proxies. */
const firstProxyNet = 10;
/** Last part of the address of an entry's proxy to the first target; those of other nodes are below. */
const firstTargetProxy = 100;
const enginesPerRegion = 2;
/** Regions that have the targets of a service if no other one has any. */
const homes = {desk: 'saskatoon', writers: 'regina'};
/** Duration of a call and interval between two events of a stream, in milliseconds. */
const workMs = 25;
const reportEveryMs = 300;
const regionDelayMs = 15;
const callTimeoutMs = 2500;

/** A deployment with a routes document that runs in real processes; each link between two nodes goes through a fault proxy. */
export class SoakDeployment {
	static async create(options: SoakDeploymentOptions): Promise<SoakDeployment> {
		const deployment = new SoakDeployment(options, await PortBlock.reserve());
		await deployment.#prepare();
		return deployment;
	}

	readonly regions = regions;
	nodes: SoakNode[] = [];
	/** Nodes that were removed for good. */
	readonly removedNodes: SoakNode[] = [];
	readonly engines: SoakEngine[] = [];
	/** Engines that only probes use; no fault is drawn for them. */
	readonly probedEngines: SoakEngine[] = [];
	readonly links: Links;
	/** Folder of the processes' settings, logs and data. */
	readonly folder = mkdtempSync(path.join(tmpdir(), 'lovageferry-soak-'));
	readonly #random: Random;
	readonly #ports: PortBlock;
	readonly #plans = new Map<SoakNode, NodePlan>();
	#nodePorts!: ConstructorParameters<typeof SoakNode>[0]['ports'];
	#program = '';
	readonly #options: SoakDeploymentOptions;
	#controlCount = 0;
	#reportTimer: NodeJS.Timeout | undefined;

	private constructor(options: SoakDeploymentOptions, ports: PortBlock) {
		this.#options = options;
		this.#random = options.random;
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

	/** False once each address for control nodes has been used. */
	get hasAddresses(): boolean {
		return this.#controlCount < maxControlNodes;
	}

	/** A new control node in the region of the one that it replaces, at an address of its own and with an empty data folder; it takes part after `add`. */
	createControl(region: string): SoakNode {
		this.#controlCount += 1;
		return this.#createNode(this.#controlPlan(region, this.#controlCount), this.#controlCount <= controlRegions.length);
	}

	/** Opens the links of a node to and from all others and makes it one of the deployment. */
	async add(node: SoakNode): Promise<void> {
		const plan = this.#plans.get(node)!;
		const others = this.nodes.map(other => this.#plans.get(other)!);
		this.nodes.push(node);
		await Promise.all(others.flatMap(other => [this.#openLinks(plan, other), this.#openLinks(other, plan)]));
	}

	/** Removes a machine for good; its address refuses connections from then on, or is silent. */
	async remove(node: SoakNode, signal: 'SIGKILL' | 'SIGTERM', silent: boolean): Promise<void> {
		node.removed = true;
		this.nodes = this.nodes.filter(other => other !== node);
		this.removedNodes.push(node);
		await node.end(signal);
		this.links.retire(node.name, silent);
	}

	/** Starts a target that takes the place of another one, which it doesn't stop. */
	async addSuccessor({engine: old, service, region}: SoakEngine, softwareVersion: string): Promise<void> {
		const count = this.engines.filter(other => other.service === service && other.region === region).length;
		const engine = new PlatformEngine(`${region}-${service}-${count + 1}`, old.workMs);
		Object.assign(engine, {
			softwareVersion, eventCount: old.eventCount, pauseBeforeMs: old.pauseBeforeMs, prefillMs: old.prefillMs, planRefusal: old.planRefusal,
		});
		await engine.listen();
		this.engines.push({
			engine, service, region, sequence: 0, newIds: 0, state: 'ready',
		});
	}

	/** Lets a target answer under a new id at its address, as after a start; its connections last. */
	takeNewId(target: SoakEngine): void {
		target.newIds += 1;
		target.engine.instanceId = `${target.engine.identifier}-${target.newIds}`;
	}

	/** State of a control node, as it shows it to operators; undefined if it doesn't answer. */
	async controlStatus(node: SoakNode): Promise<ControlStatus | undefined> {
		try {
			const res = await request(`http://${node.address('metrics')}/status`, {headersTimeout: callTimeoutMs, bodyTimeout: callTimeoutMs});
			return await res.body.json() as ControlStatus;
		} catch {
			return undefined;
		}
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

	/** Requests that reached targets, by their callers' identifiers, with a key for each sending by a caller; times by `performance.now()`. */
	get arrivals(): ReadonlyArray<{readonly service: SoakService; readonly id: string; readonly key: string; readonly at: number}> {
		return this.engines.flatMap(({engine, service}) => engine.receivedRequests.map(({headers, receivedAt}) => {
			const id = String(headers['request-identifier']);
			return {
				service, id, key: `${id} ${String(headers.sending ?? 1)}`, at: receivedAt,
			};
		}));
	}

	/** Runs over all targets, by the identifier of the request. */
	get runs(): ReadonlyMap<string, ReadonlyArray<TargetRun & {readonly target: string}>> {
		return groupBy(this.engines.flatMap(({engine}) => engine.runRecords.map(run => ({...run, target: engine.identifier}))), ({key}) => key);
	}

	/** What targets refused as planned, what they wrote once more of it, and the connections that they accepted. */
	get refusals(): SoakRefusals {
		const sum = (count: (engine: PlatformEngine) => number) => this.engines.reduce((total, {engine}) => total + count(engine), 0);
		return {
			refused: sum(({refusals}) => refusals.count),
			copied: sum(({refusals}) => refusals.copied),
			copiedInProgress: sum(({refusals}) => refusals.copiedInProgress),
			sentBesideRuns: sum(({sentBesideRuns}) => sentBesideRuns),
			newIds: this.engines.reduce((total, {newIds}) => total + newIds, 0),
			connections: sum(({connectionCount}) => connectionCount),
		};
	}

	/** Kills the processes, closes engines and proxies, and deletes the folder unless `keepFolder` is set. */
	async dispose(options: {keepFolder: boolean}): Promise<void> {
		clearInterval(this.#reportTimer);
		await Promise.all([...this.nodes, ...this.removedNodes].map(async node => node.end('SIGKILL')));
		await Promise.all([...this.engines, ...this.probedEngines].map(async ({engine}) => engine.close()));
		this.links.close();
		this.#ports.release();
		if (!options.keepFolder) {
			rmSync(this.folder, {recursive: true, force: true, maxRetries: 3});
		}
	}

	async #prepare(): Promise<void> {
		this.#nodePorts = {
			callers: this.#ports.next(), readiness: this.#ports.next(), operators: this.#ports.next(), directory: this.#ports.next(), metrics: this.#ports.next(), internal: this.#ports.next(),
		};
		// Reserves the rest of the range of internal ports.
		for (let count = 0; count < 5; count++) {
			this.#ports.next();
		}

		this.#program = await bundle('platform/main.ts');
		await this.#startTargets();
		for (const region of controlRegions) {
			await this.add(this.createControl(region)); // eslint-disable-line no-await-in-loop
		}

		for (const plan of this.#entryPlans()) {
			await this.add(this.#createNode(plan, true)); // eslint-disable-line no-await-in-loop
		}

		await this.#openTargetLinks();
	}

	async #startTargets(): Promise<void> {
		for (const region of regions) {
			for (const service of ['desk', 'writers'] as const) {
				for (let index = 1; index <= this.#targetCount(service, region); index++) {
					const engine = new PlatformEngine(`${region}-${service}-${index}`, workMs);
					// Two software versions serve side by side in each region.
					engine.softwareVersion = `v${index % 2 === 0 ? 2 : 1}`;
					await engine.listen(); // eslint-disable-line no-await-in-loop
					this.engines.push({
						engine, service, region, sequence: 0, newIds: 0, state: 'ready',
					});
				}
			}

			const engine = new PlatformEngine(`${region}-press-1`);
			await engine.listen(); // eslint-disable-line no-await-in-loop
			this.probedEngines.push({
				engine, service: 'press', region, sequence: 0, newIds: 0, state: 'ready',
			});
		}
	}

	/** Each region has its own targets, or one has those of all. */
	#targetCount(service: 'desk' | 'writers', region: string): number {
		if (!this.#options.forwarded) {
			return enginesPerRegion;
		}

		return region === homes[service] ? enginesPerRegion * regions.length : 0;
	}

	/** Opens the links from each entry to each target; those that come later have none. */
	async #openTargetLinks(): Promise<void> {
		for (const [name, plan] of [...this.#plans].map(([node, plan]) => [node.name, plan] as const).filter(([, {role}]) => role === 'entry')) {
			for (const {identifier, port, listenHost} of this.#targetProxies(plan)) {
				// eslint-disable-next-line no-await-in-loop
				await this.links.addAt(name, identifier, {
					listenHost, host: '127.0.0.1', port, delayMs: 0,
				});
			}
		}
	}

	#targetProxies(plan: NodePlan): TargetProxy[] {
		if (!this.#options.targetLinks || plan.role !== 'entry') {
			return [];
		}

		const net = `127.0.${firstProxyNet + plan.machine}`;
		return this.engines.map(({engine: {identifier, address}}, index) => ({
			identifier, address, port: Number(address.split(':')[1]), listenHost: `${net}.${firstTargetProxy + index}`,
		}));
	}

	#controlPlan(region: string, number: number): NodePlan {
		return {
			name: `control-${number}`, role: 'control', region, ip: `127.0.1.${number}`, machine: number,
		};
	}

	#entryPlans(): NodePlan[] {
		return regions.flatMap((region, at) => Array.from({length: this.#options.entriesPerRegion}, (_, index) => {
			const number = (at * this.#options.entriesPerRegion) + index + 1;
			return {
				name: `${region}-${index + 1}`, role: 'entry', region, ip: `127.0.2.${number}`, machine: maxControlNodes + number,
			};
		}));
	}

	#createNode(plan: NodePlan, founding: boolean): SoakNode {
		// The settings name the proxies of control nodes that are added later as well: a running process does not learn them.
		const others = [
			...Array.from({length: maxControlNodes}, (_, index) => this.#controlPlan(plan.region, index + 1)),
			...this.#entryPlans(),
		].filter(({ip}) => ip !== plan.ip);
		const forwards = others.flatMap(other => SoakNode.peerAddresses({...other, ports: this.#nodePorts}).map(address => [address, `${proxyHost(plan, other)}:${address.split(':')[1]}`] as const));
		const toTargets = this.#targetProxies(plan).map(({address, listenHost, port}) => [address, `${listenHost}:${port}`] as const);
		const node: SoakNode = new SoakNode({
			...plan, folder: this.folder, program: this.#program, ports: this.#nodePorts, founding, regions,
			seeds: () => this.#seedsFor(node),
			forwards: Object.fromEntries([...forwards, ...toTargets]),
		});
		this.#plans.set(node, plan);
		return node;
	}

	/** Seeds as the platform writes them: at the first start the same for all, later control nodes that run. */
	#seedsFor(node: SoakNode): readonly string[] {
		if (node.founding && node.lifetime === 0) {
			return this.control.slice(0, controlSeedCount).map(control => control.address('operators'));
		}

		const others = this.control.filter(other => other !== node);
		const running = sample(others.filter(({up}) => up), controlSeedCount, this.#random);
		const rest = sample(others.filter(({up}) => !up), controlSeedCount, this.#random);
		return [...running, ...rest].slice(0, controlSeedCount).map(control => control.address('operators'));
	}

	async #openLinks(from: NodePlan, to: NodePlan): Promise<void> {
		const delayMs = from.region === to.region ? 0 : regionDelayMs;
		for (const address of SoakNode.peerAddresses({...to, ports: this.#nodePorts})) {
			// eslint-disable-next-line no-await-in-loop
			await this.links.addAt(from.name, to.name, {
				listenHost: proxyHost(from, to), host: to.ip, port: Number(address.split(':')[1]), delayMs,
			});
		}
	}

	/** Registers each target with a random control node that runs. */
	async #reportInstances(): Promise<void> {
		const control = this.control.filter(({up}) => up);
		const node = control[Math.floor(this.#random.next() * control.length)];
		if (node === undefined) {
			return;
		}

		const reporting = [...this.engines, ...this.probedEngines].filter(({state}) => state !== 'gone');
		await Promise.all(reporting.map(async target => {
			target.sequence += 1;
			const {engine: {identifier, instanceId = identifier, address, softwareVersion}, service, region, sequence, newIds, state} = target;
			await this.callOperatorApi(node, 'PUT', `/instances/${instanceId}`, JSON.stringify({
				service, address, zone: `${region}-a`, version: softwareVersion, slots: 8, state, 'cold-remaining-ms': 0, born: 1000 + newIds, sequence,
			}));
		}));
	}
}

/** Address of the proxy from one machine to another, which no other link uses. */
function proxyHost(from: NodePlan, to: NodePlan): string {
	return `127.0.${firstProxyNet + from.machine}.${to.machine}`;
}
