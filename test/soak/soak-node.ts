import {Buffer} from 'node:buffer';
import {
	appendFileSync, existsSync, mkdirSync, readFileSync, rmSync, statSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import {ManagedProcess} from '../harness/managed-process.ts';

type SoakNodeOptions = {
	readonly name: string;
	readonly role: 'entry' | 'control';
	readonly region: string;
	/** Loopback address that only this node uses. */
	readonly ip: string;
	readonly folder: string;
	readonly program: string;
	readonly ports: NodePorts;
	/** Operators' addresses of the control nodes that the settings list as seeds, as of now. */
	readonly seeds: () => readonly string[];
	/** True if the node is one of those with which the deployment starts for the first time. */
	readonly founding: boolean;
	readonly regions: readonly string[];
	/** Addresses of the proxies to other nodes, by those nodes' own addresses. */
	readonly forwards: Readonly<Record<string, string>>;
};

/** Port numbers, the same for all nodes. */
type NodePorts = {readonly callers: number; readonly readiness: number; readonly operators: number; readonly directory: number; readonly metrics: number; readonly internal: number};

/** Offsets of the control peers' port and the relay port within the range of internal ports, as the settings define them. */
const controlPeersOffset = 4;
const relayOffset = 1;
const graceMs = 6000;
/** Longest time for which a process counts as loading, in milliseconds. */
const maxLoadMs = 15_000;
/** Line that a process logs once its program is loaded, before it reads its data. */
const loadedMark = '"msg":"starting"';

/** One lovageferry process of the soak, with its settings and data folder. */
export class SoakNode {
	/** Addresses at which a node listens for other nodes, without the proxies in front of them. */
	static peerAddresses({role, ip, ports}: Pick<SoakNodeOptions, 'role' | 'ip' | 'ports'>): readonly string[] {
		const offsets = role === 'control' ? [controlPeersOffset] : [0, relayOffset];
		return offsets.map(offset => `${ip}:${ports.internal + offset}`);
	}

	readonly name: string;
	readonly role: 'entry' | 'control';
	readonly region: string;
	readonly process: ManagedProcess;
	frozen = false;
	/** Number of active faults that affect the node. */
	faults = 0;
	/** Milliseconds from the start of the run to the end of the last fault that affected the node. */
	lastFaultEndedAt = 0;
	/** Number of runs of the process so far. */
	lifetime = 0;
	/** Milliseconds from the start of the run to the time at which the latest run of the process had loaded its program; undefined while it loads. */
	loadedAt: number | undefined;
	/** Longest time that a run of the process took to load its program, in milliseconds. */
	longestLoadMs = 0;
	/** Time after it has loaded for which the node still counts as disturbed, in milliseconds. */
	settleMs = 0;
	/** True once the machine is gone for good. */
	removed = false;
	#loadingSince: number | undefined;
	/** Bytes of the list of long delays that were read. */
	#delaysRead = 0;
	/** Number of parts into which the marks of earlier runs divide the log. */
	#loadedCount = 1;
	readonly #options: SoakNodeOptions;

	constructor(options: SoakNodeOptions) {
		this.#options = options;
		this.name = options.name;
		this.role = options.role;
		this.region = options.region;
		mkdirSync(this.#dataFolder, {recursive: true});
		this.process = new ManagedProcess([options.program, 'run', this.#settingsFile], this.logFile);
	}

	get up(): boolean {
		return this.process.up;
	}

	/** Address by which the other control nodes know a control node. */
	get peerAddress(): string {
		return SoakNode.peerAddresses(this.#options)[0]!;
	}

	/** True if no fault has affected the node within a time, and its process had loaded by then. */
	isCalm(now: number, withinMs: number): boolean {
		return this.faults === 0 && !this.loading && now - this.lastFaultEndedAt > withinMs;
	}

	/** True while Node loads the program of a process that was started; that takes seconds on a busy machine, and nothing of the program runs yet. */
	get loading(): boolean {
		return this.up && this.loadedAt === undefined;
	}

	/** Takes note of a process that has loaded its program; called at short intervals. */
	noteLoaded(now: number): void {
		if (!this.loading) {
			return;
		}

		this.#loadingSince ??= now;
		const loadMs = now - this.#loadingSince;
		if (loadMs > maxLoadMs || readFileSync(this.logFile, 'utf8').split(loadedMark).length > this.#loadedCount) {
			this.loadedAt = now;
			this.longestLoadMs = Math.max(this.longestLoadMs, loadMs);
			this.lastFaultEndedAt = Math.max(this.lastFaultEndedAt, now + this.settleMs);
			this.settleMs = 0;
		}
	}

	/** True if the list of long delays has a new one of at least this length: the machine slowed the process. */
	wasSlowed(leastMs: number): boolean {
		const file = `${this.logFile}.late.delays`;
		const size = existsSync(file) ? statSync(file).size : 0;
		if (size === this.#delaysRead) {
			return false;
		}

		const lines = readFileSync(file, 'utf8').slice(this.#delaysRead).split('\n').filter(line => line !== '');
		this.#delaysRead = size;
		return lines.some(line => (JSON.parse(line) as {lateMs?: number}).lateMs! >= leastMs);
	}

	beginFault(): void {
		this.faults += 1;
	}

	/** @param at - milliseconds from the start of the run to the time from which the node counts as undisturbed by this fault. */
	endFault(at: number): void {
		this.faults -= 1;
		this.lastFaultEndedAt = Math.max(this.lastFaultEndedAt, at);
	}

	get founding(): boolean {
		return this.#options.founding;
	}

	address(port: keyof NodePorts): string {
		return `${this.#options.ip}:${this.#options.ports[port]}`;
	}

	start(): void {
		if (!this.up && !this.removed) {
			this.#writeSettings({firstStart: this.#options.founding && this.lifetime === 0});
			this.lifetime += 1;
			this.loadedAt = undefined;
			this.#loadingSince = undefined;
			this.#loadedCount = existsSync(this.logFile) ? readFileSync(this.logFile, 'utf8').split(loadedMark).length : 1;
			this.process.start();
		}
	}

	async end(signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
		if (this.frozen) {
			this.setFrozen(false);
		}

		await this.process.end(signal);
	}

	setFrozen(frozen: boolean): void {
		this.frozen = frozen;
		this.process.signal(frozen ? 'SIGSTOP' : 'SIGCONT');
	}

	loseDisk(): void {
		rmSync(this.#dataFolder, {recursive: true, force: true});
		mkdirSync(this.#dataFolder);
	}

	/** Appends an incomplete record to the journal, as left by a power failure during a write. */
	appendTornWrite(bytes: number): void {
		const journal = path.join(this.#dataFolder, 'consensus.journal');
		if (existsSync(journal)) {
			appendFileSync(journal, Buffer.alloc(bytes, 1));
		}
	}

	get #settingsFile(): string {
		return path.join(this.#options.folder, `${this.#options.name}.yaml`);
	}

	get logFile(): string {
		return path.join(this.#options.folder, `${this.#options.name}.log`);
	}

	get #dataFolder(): string {
		return path.join(this.#options.folder, this.#options.name);
	}

	#writeSettings({firstStart}: {firstStart: boolean}): void {
		const {name, role, region, ip, ports, seeds, regions, forwards} = this.#options;
		const listen = role === 'entry'
			? {callers: this.address('callers'), readiness: this.address('readiness')}
			: {operators: this.address('operators'), directory: this.address('directory')};
		writeFileSync(this.#settingsFile, JSON.stringify({
			mode: 'routes',
			role,
			node: name,
			zone: `${region}-a`,
			region,
			zones: Object.fromEntries(regions.map(other => [`${other}-a`, other])),
			internal: {
				ip, firstPort: ports.internal, lastPort: ports.internal + 5, forwards,
			},
			controlSeeds: seeds(),
			firstStart,
			toleratedDisks: 2,
			reportEveryMs: 300,
			graceMs,
			dataFolder: role === 'control' ? this.#dataFolder : undefined,
			listen: {...listen, metricsPort: ports.metrics},
		}));
	}
}
