import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';
import type {Random} from '../../src/core/common/random.ts';
import type {ProbeRecord} from './probe-record.ts';
import type {SoakDeployment} from './soak-deployment.ts';
import type {SoakNode} from './soak-node.ts';
import type {SoakOperator} from './soak-operator.ts';
import {soakVersions} from './soak-versions.ts';

/** Interval between two probes of an entry, in milliseconds. */
const probeIntervalMs = 300;
const probeTimeoutMs = 3000;
const pollMs = 100;
/** Bounds of the first deployments: time within which an acknowledged version is in force, further time while the core is unstable, slack before a return to an older version counts, in milliseconds. */
const applyMs = 3000;
const outerBoundMs = 8000;
const rollbackSlackMs = 250;
/** Factor of the slack on a machine that is slowed. */
const slowedFactor = 8;
const stabilityWindowMs = 6000;

/** Asks each entry at a constant rate for routes that versions add, move and drop. */
export class SoakProbes {
	readonly records: ProbeRecord[] = [];
	readonly #deployment: SoakDeployment;
	readonly #operator: SoakOperator;
	readonly #random: Random;
	readonly #now: () => number;
	/** Effects of versions that entries have shown, oldest first, by entry and run of its process. */
	readonly #shown = new Map<string, Array<{readonly version: number; readonly at: number}>>();
	readonly #agent = new Agent({
		connect: {timeout: 1000}, keepAliveTimeout: 10_000, headersTimeout: probeTimeoutMs, bodyTimeout: probeTimeoutMs,
	});

	#open = 0;
	#count = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor({deployment, operator, random, now}: {deployment: SoakDeployment; operator: SoakOperator; random: Random; now: () => number}) {
		this.#deployment = deployment;
		this.#operator = operator;
		this.#random = random;
		this.#now = now;
	}

	start(): void {
		this.#timer = setInterval(() => {
			for (const entry of this.#deployment.entries) {
				void this.#probe(entry);
			}
		}, probeIntervalMs);
	}

	/** Stops sending and waits for the probes in flight. */
	async finish(): Promise<void> {
		clearInterval(this.#timer);
		while (this.#open > 0) {
			await sleep(pollMs); // eslint-disable-line no-await-in-loop
		}

		await this.#agent.close();
	}

	async #probe(entry: SoakNode): Promise<void> {
		const sentAt = this.#now();
		const shown = this.#shownBy(entry);
		const slackMs = isCalm(entry, sentAt) ? rollbackSlackMs : rollbackSlackMs * slowedFactor;
		const due = this.#dueVersion(entry, sentAt);
		const record: ProbeRecord = {
			entry: entry.name,
			asked: this.#pickQuestion(due),
			sentAt,
			due,
			shown: Math.max(0, ...shown.filter(({at}) => sentAt - at > slackMs).map(({version}) => version)),
			calm: [entry, ...this.#deployment.control].every(node => isCalm(node, sentAt)),
			newestSent: 0,
		};
		this.#open += 1;
		try {
			await this.#exchange(record, entry);
		} catch {
			// No answer came, or not in full; what has arrived of it is judged.
		}

		record.newestSent = this.#operator.sentVersion;
		if (record.servedBy !== undefined && typeof record.asked === 'object') {
			shown.push({version: record.asked.added, at: this.#now()});
		}

		this.records.push(record);
		this.#open -= 1;
	}

	async #exchange(record: ProbeRecord, entry: SoakNode): Promise<void> {
		const {asked} = record;
		const path = typeof asked === 'object' ? soakVersions.addedPath(asked.added) : (asked === 'moved' ? soakVersions.movedPath : soakVersions.invalidPath);
		this.#count += 1;
		const res = await this.#agent.request({
			origin: `http://${entry.address('callers')}`,
			path: `${path}1`,
			method: 'GET',
			headers: {host: 'prairie.example', 'request-identifier': `p-${this.#count}`, 'deadline-milliseconds': String(probeTimeoutMs)},
		});
		record.status = res.statusCode;
		const signature = res.headers['server-signature'];
		record.servedBy = signature === undefined ? undefined : (String(signature).includes('-press-') ? 'press' : 'desk');
		await res.body.dump();
	}

	/** Asks for a route that was added lately or long ago, for one that has been dropped, for the one that moves, or for one that must not exist. */
	#pickQuestion(due: number): ProbeRecord['asked'] {
		const draw = this.#random.next();
		const {accepted} = this.#operator;
		if (draw < 0.25) {
			return 'moved';
		}

		if (draw < 0.3) {
			return 'invalid';
		}

		const dropped = (soakVersions.addedIn(due)[0] ?? 0) - 1;
		if (draw < 0.5 && dropped >= 1) {
			return {added: dropped};
		}

		return {added: Math.max(1, draw < 0.75 ? due : accepted)};
	}

	#shownBy({name, lifetime}: SoakNode) {
		const key = `${name} ${lifetime}`;
		const shown = this.#shown.get(key) ?? [];
		this.#shown.set(key, shown);
		return shown;
	}

	/** Newest version that the entry must have in force: acknowledged longer ago than the bound, which is further while at most a minority of the control nodes was disturbed. */
	#dueVersion(entry: SoakNode, now: number): number {
		const {control} = this.#deployment;
		if (!isCalm(entry, now)) {
			return 0;
		}

		const isStable = control.every(node => isCalm(node, now));
		const disturbed = control.filter(node => !isCalm(node, now, applyMs + outerBoundMs + stabilityWindowMs)).length;
		if (!isStable && disturbed * 2 >= control.length) {
			return 0;
		}

		const boundMs = isStable ? applyMs : applyMs + outerBoundMs;
		return Math.max(0, ...this.#operator.acks.filter(({at}) => now - at > boundMs).map(({version}) => version));
	}
}

function isCalm(node: SoakNode, now: number, withinMs = stabilityWindowMs): boolean {
	return node.isCalm(now, withinMs);
}
