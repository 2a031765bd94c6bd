import {
	cpSync, mkdirSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {createHash, randomBytes} from 'node:crypto';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {bundle} from '../../test/harness/bundle.ts';
import {ManagedProcess} from '../../test/harness/managed-process.ts';
import type {DemoPlan} from './demo-plan.ts';

const binary = path.resolve('dist/lovageferry');
const operatorKey = 'demo-operator-key';
const targetKey = 'demo-target-key';
const firstTargetPort = 7600;
const readyTimeoutMs = 30_000;
const pollMs = 100;

/** Runs all processes of one deployment on this machine: nodes with the example settings, and stand-in targets. */
export class DemoInstallation {
	readonly folder = mkdtempSync(path.join(tmpdir(), 'lovageferry-demo-'));
	readonly #plan: DemoPlan;
	readonly #nodes = new Map<string, ManagedProcess>();
	readonly #targets = new Map<string, ManagedProcess>();
	#lastPort = firstTargetPort;

	constructor(plan: DemoPlan) {
		this.#plan = plan;
	}

	get operatorKeyFile(): string {
		return path.join(this.folder, 'operator.key');
	}

	/** Address at which a node accepts callers, as in its example settings. */
	address(node: string): string {
		const first = this.#plan.firm === 'prairie' ? 7101 : 7301;
		return `127.0.0.1:${first + this.#plan.nodes.indexOf(node)}`;
	}

	/** Starts the nodes and waits until `/healthz` of each answers 200. */
	async startNodes(): Promise<void> {
		this.#writeFiles();
		for (const node of this.#plan.nodes) {
			const process = new ManagedProcess(['run', path.join(this.folder, `${node}.yaml`)], path.join(this.folder, `${node}.log`), binary);
			this.#nodes.set(node, process);
			process.start();
		}

		await Promise.all(this.#plan.nodes.map(async node => this.#waitForPage(node, '/healthz')));
	}

	async waitUntilReady(): Promise<void> {
		await Promise.all(this.#plan.nodes.map(async node => this.#waitForPage(node, '/readyz')));
	}

	/** Starts the stand-in targets and waits until every node lists a target of both services. */
	async startTargets(): Promise<void> {
		const [engineProgram, serviceProgram] = await Promise.all([bundle('test/fakes/engine.ts'), bundle('test/fakes/service.ts')]);
		for (const [index, zone] of this.#plan.engine.zones.entries()) {
			this.#startTarget(engineProgram, `${this.#plan.engine.service}-${index + 1}`, this.#plan.engine.service, zone, ['--model', this.#plan.engine.model, '--token-ms', String(4 + index)]);
		}

		for (const [index, zone] of this.#plan.plainService.zones.entries()) {
			this.#startTarget(serviceProgram, `${this.#plan.plainService.service}-${index + 1}`, this.#plan.plainService.service, zone, []);
		}

		await Promise.all(this.#plan.nodes.map(async node => this.#waitForTargets(node)));
	}

	/** Stops the targets of a service in a region by SIGTERM, on which each announces that it leaves. */
	async stopTargets(service: string, region: string): Promise<void> {
		const stopped = [...this.#targets].filter(([id]) => id.startsWith(`${service}-`) && this.#zoneOf(id).startsWith(region));
		await Promise.all(stopped.map(async ([, process]) => process.end('SIGTERM')));
	}

	/** Stops all nodes by SIGTERM; returns their exit codes by node. */
	async stopNodes(): Promise<Record<string, number | undefined>> {
		await Promise.all([...this.#nodes.values()].map(async process => process.end('SIGTERM')));
		return Object.fromEntries([...this.#nodes].map(([node, process]) => [node, process.exitCode]));
	}

	/** Kills all remaining processes and removes the folder. */
	async dispose(): Promise<void> {
		await Promise.all([...this.#nodes.values(), ...this.#targets.values()].map(async process => process.end('SIGKILL')));
		rmSync(this.folder, {recursive: true, force: true});
	}

	#writeFiles(): void {
		cpSync(this.#plan.examples, this.folder, {recursive: true});
		mkdirSync(path.join(this.folder, 'runs'));
		const writeSecret = (name: string, text: string) => {
			writeFileSync(path.join(this.folder, name), text, {mode: 0o600});
		};

		const sha256 = createHash('sha256').update(operatorKey).digest('hex');
		writeSecret('peer.key', randomBytes(32).toString('hex'));
		writeSecret('order.key', randomBytes(32).toString('hex'));
		writeSecret('operator.key', operatorKey);
		writeSecret('operators.yaml', `- {name: demo, sha256: ${sha256}}\n`);
	}

	#startTarget(program: string, id: string, service: string, zone: string, extraArguments: readonly string[]): void {
		this.#lastPort += 1;
		const entries = this.#plan.nodes.filter(node => zone.startsWith(node.split('-')[0]!)).map(node => this.address(node));
		const process = new ManagedProcess([
			program,
			'--port',
			String(this.#lastPort),
			'--id',
			id,
			'--zone',
			zone,
			'--firm',
			this.#plan.firm,
			'--deployment',
			this.#plan.deployment,
			'--service',
			service,
			'--announce-to',
			entries.join(','),
			'--key',
			targetKey,
			'--run-log',
			path.join(this.folder, 'runs', `${id}.jsonl`),
			...extraArguments,
		], path.join(this.folder, `${id}.log`));
		this.#targets.set(id, process);
		process.start();
	}

	#zoneOf(id: string): string {
		const index = Number(id.slice(id.lastIndexOf('-') + 1)) - 1;
		const {engine, plainService} = this.#plan;
		return (id.startsWith(plainService.service) ? plainService.zones : engine.zones)[index]!;
	}

	async #waitForTargets(node: string): Promise<void> {
		await this.#waitUntil(async () => {
			const body = await this.#waitForPage(node, '/v1/targets') as {targets: Array<{announcement: {service: string}}>};
			return new Set(body.targets.map(target => target.announcement.service)).size === 2;
		}, `${node} does not list targets of both services`);
	}

	async #waitForPage(node: string, page: string): Promise<unknown> {
		let body: unknown;
		await this.#waitUntil(async () => {
			const res = await request(`http://${this.address(node)}${page}`, {headers: {authorization: `Bearer ${operatorKey}`}});
			body = await res.body.json();
			return res.statusCode === 200;
		}, `${node} does not answer ${page}`);
		return body;
	}

	async #waitUntil(condition: () => Promise<boolean>, failure: string): Promise<void> {
		const end = Date.now() + readyTimeoutMs;
		while (Date.now() < end) {
			/* eslint-disable no-await-in-loop */
			try {
				if (await condition()) {
					return;
				}
			} catch {
				// The node doesn't accept connections yet.
			}

			await sleep(pollMs);
			/* eslint-enable no-await-in-loop */
		}

		throw new Error(`${failure} within ${readyTimeoutMs} ms; see its log in ${this.folder}`);
	}
}
