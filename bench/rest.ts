import {performance} from 'node:perf_hooks';
import {gunzipSync, gzipSync} from 'node:zlib';
import type {EdgeEvent} from '../src/core/edge/edge-event.ts';
import type {Millis} from '../src/core/ids/millis.ts';
import type {NodeId} from '../src/core/ids/node-id.ts';
import type {Region} from '../src/core/ids/region.ts';
import {toId} from '../src/core/ids/to-id.ts';
import type {Zone} from '../src/core/ids/zone.ts';
import type {PeerMessage} from '../src/core/peer-message.ts';
import {constants} from '../src/settings/constants.ts';
import {ControlCluster} from '../test/fixtures/control-cluster.ts';
import {routesDocumentFixture} from '../test/fixtures/routes-document-fixture.ts';
import {SimulatedEntry} from '../test/fixtures/simulated-entry.ts';
import {SimulatedTarget} from '../test/fixtures/simulated-target.ts';
import {printRows} from './print-rows.ts';

type Size = {readonly entries: number; readonly targets: number};
type Usage = {messages: number; bytes: number; cpuMs: number};
type RestRow = Size & {
	readonly entryMessagesPerSecond: number;
	readonly entryBytesPerSecond: number;
	readonly controlMessagesPerSecond: number;
	readonly controlBytesPerSecond: number;
	readonly remoteBytesPerSecond: number;
	readonly entryCpuShare: number;
	readonly controlCpuShare: number;
};

const sizes: readonly Size[] = [{entries: 18, targets: 21}, {entries: 80, targets: 69}, {entries: 195, targets: 91}];
const zones = new Map(['regina', 'saskatoon', 'winnipeg'].map(name => [toId<Zone>(`${name}-a`), toId<Region>(name)]));
const controlNodes = 5;
const settleMs = 15_000;
const measureMs = 10_000;
const tickMs = 50;
const hopMs = 1;
const reportEveryMs = 1200;

/** Measures what a deployment without requests costs by its number of entries: messages, bytes as the links send them, and processor time of cores and codec. */
export function benchRest({json}: {json: boolean}): readonly RestRow[] {
	const rows = sizes.map(size => new RestingDeployment(size).measure());
	printRows(rows, json);
	return rows;
}

/** Entries, control nodes and targets in three regions on a simulated clock, without requests. */
class RestingDeployment {
	readonly #size: Size;
	readonly #cluster: ControlCluster;
	readonly #entries: SimulatedEntry[] = [];
	readonly #entry: Usage = {messages: 0, bytes: 0, cpuMs: 0};
	readonly #control: Usage = {messages: 0, bytes: 0, cpuMs: 0};
	#remoteBytes = 0;

	constructor(size: Size) {
		this.#size = size;
		this.#cluster = new ControlCluster({
			nodes: controlNodes,
			zones,
			deliverOutside: (to, from, message) => {
				const entry = this.#entries.find(({nodeId}) => nodeId === to)!;
				const copy = this.#transfer(message, {from: this.#control, to: this.#entry, remote: entry.region !== this.#regionOf(from)});
				this.#cluster.events.scheduleAfter(hopMs, () => {
					this.#step(entry, {type: 'peer', from, message: copy});
				});
			},
			onSend: (from, to, message) => {
				this.#transfer(message, {from: this.#control, to: this.#control, remote: this.#regionOf(from) !== this.#regionOf(to)});
			},
		});
		const document = routesDocumentFixture({engine: true, route: {kind: 'stream'}});
		for (const [index, [zone, region]] of rotate([...zones], size.entries).entries()) {
			this.#entries.push(new SimulatedEntry({
				index, zone, region, seeds: this.#cluster.nodes.slice(0, 3).map(({nodeId}) => nodeId), document,
			}));
		}
	}

	measure(): RestRow {
		this.#start();
		this.#cluster.run(settleMs);
		for (const usage of [this.#entry, this.#control]) {
			Object.assign(usage, {messages: 0, bytes: 0, cpuMs: 0});
		}

		this.#remoteBytes = 0;
		const startedAt = performance.now();
		this.#cluster.run(measureMs);
		// The cluster steps the control nodes, so their cores' time is what remains.
		const controlMs = performance.now() - startedAt - this.#entry.cpuMs;
		const seconds = measureMs / 1000;
		const {entries} = this.#size;
		return {
			...this.#size,
			entryMessagesPerSecond: this.#entry.messages / seconds / entries,
			entryBytesPerSecond: this.#entry.bytes / seconds / entries,
			controlMessagesPerSecond: this.#control.messages / seconds / controlNodes,
			controlBytesPerSecond: this.#control.bytes / seconds / controlNodes,
			remoteBytesPerSecond: this.#remoteBytes / seconds,
			entryCpuShare: this.#entry.cpuMs / measureMs / entries,
			controlCpuShare: controlMs / measureMs / controlNodes,
		};
	}

	#start(): void {
		this.#cluster.startAll();
		for (const [index, entry] of this.#entries.entries()) {
			entry.start();
			this.#cluster.events.scheduleAfter(index % tickMs, () => {
				this.#tickForever(entry);
			});
		}

		for (const [index, [zone, region]] of rotate([...zones], this.#size.targets).entries()) {
			const target = new SimulatedTarget({
				name: `i-${String(index).padStart(10, '0')}`, zone, region, queue: this.#cluster.events, onCrash: () => undefined,
			});
			this.#cluster.events.scheduleAfter(index * 13 % reportEveryMs, () => {
				this.#reportForever(target, index);
			});
		}

		this.#cluster.run(5000);
		this.#cluster.call(0, {type: 'change', command: {type: 'document', document: {version: 1, text: ''}}});
	}

	/** Encodes and decodes a message as a link does, and charges both ends. */
	#transfer(message: PeerMessage, {from, to, remote}: {from: Usage; to: Usage; remote: boolean}): PeerMessage {
		const startedAt = performance.now();
		const text = JSON.stringify(message);
		const isCompressed = text.length >= constants.peerCompressBytes;
		const sent = isCompressed ? gzipSync(text) : text;
		const encodedAt = performance.now();
		const copy = JSON.parse(isCompressed ? gunzipSync(sent).toString() : text) as PeerMessage;
		from.cpuMs += encodedAt - startedAt;
		to.cpuMs += performance.now() - encodedAt;
		for (const usage of new Set([from, to])) {
			usage.messages += 1;
			usage.bytes += sent.length;
		}

		this.#remoteBytes += remote ? sent.length : 0;
		return copy;
	}

	#step(entry: SimulatedEntry, event: EdgeEvent): void {
		const startedAt = performance.now();
		const actions = entry.core.step(event, this.#cluster.now as Millis);
		this.#entry.cpuMs += performance.now() - startedAt;
		for (const action of actions) {
			if (action.type === 'send') {
				const to = this.#cluster.nodes.findIndex(({nodeId}) => nodeId === action.to);
				const message = this.#transfer(action.message, {from: this.#entry, to: this.#control, remote: entry.region !== this.#regionOf(action.to)});
				this.#cluster.events.scheduleAfter(hopMs, () => {
					this.#cluster.step(to, {type: 'peer', from: entry.nodeId, message});
				});
			}
		}
	}

	#tickForever(entry: SimulatedEntry): void {
		this.#step(entry, {type: 'tick'});
		this.#cluster.events.scheduleAfter(tickMs, () => {
			this.#tickForever(entry);
		});
	}

	#reportForever(target: SimulatedTarget, index: number): void {
		this.#cluster.step(index % controlNodes, {type: 'report', report: target.report()!});
		this.#cluster.events.scheduleAfter(reportEveryMs, () => {
			this.#reportForever(target, index);
		});
	}

	#regionOf(control: NodeId): Region {
		const regions = [...zones.values()];
		return regions[this.#cluster.nodes.findIndex(({nodeId}) => nodeId === control) % regions.length]!;
	}
}

/** The first `count` items of an endless repetition of a list. */
function rotate<Item>(list: readonly Item[], count: number): readonly Item[] {
	return Array.from({length: count}, (_, index) => list[index % list.length]!);
}
