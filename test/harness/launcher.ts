import {
	mkdirSync, mkdtempSync, readFileSync, rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import type {RunLogLine} from '../fakes/run-log-line.ts';
import {bundle} from './bundle.ts';
import type {InstallationSpec} from './installation-spec.ts';
import {Links} from './links.ts';
import {ManagedProcess} from './managed-process.ts';
import type {NodeSpec} from './node-spec.ts';
import {PortBlock} from './port-block.ts';
import type {TargetSpec} from './target-spec.ts';
import {writeNodeSettings} from './write-node-settings.ts';

type Ports = {readonly callers: number; readonly peers: number};

const readyTimeoutMs = 30_000;
const pollMs = 100;
const operatorKey = 'test-operator-key';
const requestTimeoutMs = 5000;

/** Starts and ends the processes of one installation; signals no other process. */
export class Launcher {
	/** Reserves ports, opens proxies and writes settings files; `start` starts the processes. */
	static async create(spec: InstallationSpec): Promise<Launcher> {
		const ports = await PortBlock.reserve();
		const launcher = new Launcher(spec, ports);
		await launcher.#prepare();
		return launcher;
	}

	/** Folder of settings, data, logs and run logs. */
	readonly folder: string;
	readonly links: Links;
	readonly processes = new Map<string, ManagedProcess>();
	readonly #ports: PortBlock;
	readonly #nodePorts = new Map<string, Ports>();
	readonly #settingsFiles = new Map<string, string>();

	private constructor(readonly spec: InstallationSpec, ports: PortBlock) {
		this.#ports = ports;
		this.folder = mkdtempSync(path.join(tmpdir(), 'lovageferry-'));
		this.links = new Links(ports);
	}

	/** Starts every process, submits the initial settings, and waits until all nodes are ready and have received the announcements of their region's targets. */
	async start(): Promise<void> {
		for (const managed of this.processes.values()) {
			managed.start();
		}

		await Promise.all(this.spec.nodes.map(async ({node}) => this.#waitForPage(node, '/healthz')));
		await this.#submitInitialChange();
		await Promise.all(this.spec.nodes.map(async ({node}) => this.waitUntilReady(node)));
		await Promise.all(this.spec.nodes.map(async node => this.#waitForTargets(node)));
	}

	/** `ip:port` at which callers and operators reach a node, bypassing the proxies. */
	address(node: string): string {
		return `127.0.0.1:${this.#nodePorts.get(node)!.callers}`;
	}

	/** Each `ip:port` at which a node listens. */
	listening(node: string): string[] {
		return Object.values(this.#nodePorts.get(node)!).map(port => `127.0.0.1:${port}`);
	}

	async waitUntilReady(node: string): Promise<void> {
		await this.#waitForPage(node, '/readyz');
	}

	/** Reads a page of a node, parsed if it is JSON; undefined without an answer of status 200. */
	async get(node: string, page: string, timeoutMs = requestTimeoutMs): Promise<unknown> {
		try {
			const headers = {authorization: `Bearer ${operatorKey}`};
			const response = await request(`http://${this.address(node)}${page}`, {headers, headersTimeout: timeoutMs, bodyTimeout: timeoutMs});
			const text = await response.body.text();
			return response.statusCode === 200 ? (text.startsWith('{') || text.startsWith('[') ? JSON.parse(text) : text) : undefined;
		} catch {
			return undefined;
		}
	}

	/** Submits a change of the settings tree to a node; returns HTTP status and body. */
	async change(node: string, change: Record<string, unknown>, timeoutMs = 20_000): Promise<{status: number; body: Record<string, unknown>}> {
		const response = await request(`http://${this.address(node)}/v1/changes`, {
			method: 'POST',
			headers: {'content-type': 'application/json', authorization: `Bearer ${operatorKey}`},
			body: JSON.stringify(change),
			headersTimeout: timeoutMs,
			bodyTimeout: timeoutMs,
		});
		return {status: response.statusCode, body: await response.body.json() as Record<string, unknown>};
	}

	/** Lines of the run logs of all targets, oldest first. */
	runLog(): RunLogLine[] {
		const lines = this.spec.targets.flatMap(({id}) => {
			try {
				return readFileSync(this.#runLogFile(id), 'utf8').split('\n').filter(Boolean).map(line => JSON.parse(line) as RunLogLine);
			} catch {
				return [];
			}
		});
		return lines.sort((a, b) => a.at - b.at);
	}

	dataFolder(node: string): string {
		return path.join(this.folder, node, 'data');
	}

	settingsFile(node: string): string {
		return this.#settingsFiles.get(node)!;
	}

	/** Kills every process, releases the ports and, unless `keepFolder` is set, deletes the folder. */
	async dispose(options: {keepFolder: boolean}): Promise<void> {
		await Promise.all([...this.processes.values()].map(async managed => managed.end('SIGKILL')));
		this.links.close();
		this.#ports.release();
		if (!options.keepFolder) {
			rmSync(this.folder, {recursive: true, force: true, maxRetries: 3});
		}
	}

	async #prepare(): Promise<void> {
		for (const {node} of this.spec.nodes) {
			this.#nodePorts.set(node, {callers: this.#ports.next(), peers: this.#ports.next()});
		}

		mkdirSync(path.join(this.folder, 'runs'));
		const bundles = {
			cli: await bundle('src/cli.ts', {asShipped: this.spec.shippedHeapMb !== undefined}),
			engine: await bundle('test/fakes/engine.ts'),
			service: await bundle('test/fakes/service.ts'),
		};
		await Promise.all(this.spec.nodes.map(async node => this.#addNode(node, bundles.cli)));
		await Promise.all(this.spec.targets.map(async target => this.#addTarget(target, bundles[target.kind])));
	}

	async #addNode(node: NodeSpec, program: string): Promise<void> {
		const others = new Map<string, Ports>();
		for (const other of this.spec.nodes.filter(candidate => candidate !== node)) {
			others.set(other.node, await this.#portsBetween(node, other)); // eslint-disable-line no-await-in-loop
		}

		const file = writeNodeSettings({
			spec: this.spec, node, folder: path.join(this.folder, node.node), operatorKey, own: this.#nodePorts.get(node.node)!, others,
		});
		this.#settingsFiles.set(node.node, file);
		const heap = this.spec.shippedHeapMb === undefined ? [] : [`--max-old-space-size=${this.spec.shippedHeapMb}`];
		this.processes.set(node.node, new ManagedProcess([...heap, program, 'run', file], path.join(this.folder, `${node.node}.log`)));
	}

	/** Ports at which one node reaches another: those of the proxies, if there are any. */
	async #portsBetween(from: NodeSpec, to: NodeSpec): Promise<Ports> {
		const ports = this.#nodePorts.get(to.node)!;
		if (!this.spec.proxies) {
			return ports;
		}

		const delayMs = from.region === to.region ? 0 : this.spec.regionDelayMs;
		return {
			callers: await this.links.add(from.node, to.node, ports.callers, {delayMs}),
			peers: await this.links.add(from.node, to.node, ports.peers, {of: 'peers', delayMs}),
		};
	}

	async #addTarget(target: TargetSpec, program: string): Promise<void> {
		const port = this.#ports.next();
		const entries = this.spec.nodes.filter(node => node.region === target.region && node.roles.includes('entry'));
		const announceTo: string[] = [];
		for (const {node} of entries) {
			const direct = this.#nodePorts.get(node)!.callers;
			announceTo.push(`127.0.0.1:${this.spec.proxies ? await this.links.add(target.id, node, direct) : direct}`); // eslint-disable-line no-await-in-loop
		}

		const announcedPort = this.spec.proxies ? await this.links.add('entries', target.id, port) : port;
		const options: Record<string, string | number> = {
			port,
			address: `127.0.0.1:${announcedPort}`,
			id: target.id,
			region: target.region,
			zone: target.zone,
			firm: this.spec.firm,
			deployment: this.spec.deployment,
			service: target.service,
			'announce-to': announceTo.join(','),
			key: this.spec.targetKey,
			'run-log': this.#runLogFile(target.id),
			...target.options,
		};
		const args = Object.entries(options).flatMap(([name, value]) => [`--${name}`, String(value)]);
		this.processes.set(target.id, new ManagedProcess([program, ...args], path.join(this.folder, `${target.id}.log`)));
	}

	#runLogFile(target: string): string {
		return path.join(this.folder, 'runs', `${target}.jsonl`);
	}

	async #waitForPage(node: string, page: string): Promise<void> {
		const end = Date.now() + readyTimeoutMs;
		while (Date.now() < end) {
			if (await this.get(node, page) !== undefined) { // eslint-disable-line no-await-in-loop
				return;
			}

			await delay(pollMs); // eslint-disable-line no-await-in-loop
		}

		throw new Error(`${node} does not answer ${page} within ${readyTimeoutMs} ms`);
	}

	async #waitForTargets({node, region}: NodeSpec): Promise<void> {
		const expectedCount = this.spec.targets.filter(target => target.region === region).length;
		const end = Date.now() + readyTimeoutMs;
		while (Date.now() < end) {
			const known = await this.get(node, '/v1/targets') as {targets: unknown[]} | undefined; // eslint-disable-line no-await-in-loop
			if (known && known.targets.length >= expectedCount) {
				return;
			}

			await delay(pollMs); // eslint-disable-line no-await-in-loop
		}

		throw new Error(`${node} does not know the ${expectedCount} targets of its region`);
	}

	async #submitInitialChange(): Promise<void> {
		const end = Date.now() + readyTimeoutMs;
		let last: unknown;
		while (Date.now() < end) {
			last = await this.change(this.spec.nodes[0]!.node, {changeId: 'initial', number: 1, operations: this.spec.operations}); // eslint-disable-line no-await-in-loop
			if ((last as {body: {type?: string}}).body.type === 'accepted') {
				return;
			}

			await delay(pollMs); // eslint-disable-line no-await-in-loop
		}

		throw new Error(`the initial change was not accepted: ${JSON.stringify(last)}`);
	}
}
