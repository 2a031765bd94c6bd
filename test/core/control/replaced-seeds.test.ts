import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import {EdgeCore} from '../../../src/core/edge/edge-core.ts';
import type {EdgeEvent} from '../../../src/core/edge/edge-event.ts';
import type {Millis} from '../../../src/core/ids/millis.ts';
import type {NodeId} from '../../../src/core/ids/node-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {ControlCluster} from '../../fixtures/control-cluster.ts';
import {jsonCopy} from '../../fixtures/json-copy.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

/** Bounds of the first deployments, in milliseconds: for a change to be in force, for a machine to catch up, and for the core to count as stable again. */
const applyMs = 3000;
const catchUpMs = 4000;
const stabilityWindowMs = 5000;
const tickMs = 50;
const delayMs = 5;
const changeEveryMs = 700;
const cutMs = 30_000;
const nodeCount = 8;
const entryCount = 6;

/** Control nodes, of which the later ones start as others are replaced, and entries that follow them. */
class Deployment {
	readonly cluster: ControlCluster;
	readonly entries: readonly EdgeCore[];
	readonly #entryIds: readonly NodeId[];

	constructor(seed: number) {
		this.#entryIds = Array.from({length: entryCount}, (_, index) => toId<NodeId>(`10.1.0.${index + 1}:7100`));
		this.cluster = new ControlCluster({
			nodes: nodeCount,
			seed,
			parseDocument: text => ({document: routesDocumentFixture({version: Number(text)})}),
			deliverOutside: (to, from, message) => {
				this.cluster.events.scheduleAfter(delayMs, () => {
					const index = this.#entryIds.indexOf(to);
					if (index !== -1) {
						this.#step(index, {type: 'peer', from, message});
					}
				});
			},
		});
		this.entries = this.#entryIds.map((nodeId, index) => new EdgeCore({
			self: {
				nodeId, region: toId('regina'), zone: toId('regina-a'), address: toId(`10.1.0.${index + 1}:80`), relayAddress: `10.1.0.${index + 1}:7101`, weight: 1,
			},
			seeds: this.cluster.nodes.slice(0, 3).map(node => node.nodeId),
			repeats: {ratio: 0.2, slack: 100, windowMs: 10_000},
			parseDocument: text => ({document: routesDocumentFixture({version: Number(text)})}),
			random: new SeededRandom(seed + index),
		}));
	}

	startEntries(): void {
		for (const index of this.entries.keys()) {
			this.#tick(index);
		}
	}

	/** Sends a version to a node; true if it is accepted. */
	accept(node: number, version: number): boolean {
		const {cluster} = this;
		const callId = cluster.call(node, {type: 'change', command: {type: 'document', document: {version, text: String(version)}}});
		cluster.runUntil(() => cluster.answers.has(callId), changeEveryMs);
		return cluster.answers.get(callId)?.type === 'accepted';
	}

	/** Index of the control node that an entry follows. */
	followed(entry: number): number {
		const {control} = this.entries[entry]!.status(this.cluster.now as Millis);
		return this.cluster.nodes.findIndex(({nodeId}) => nodeId === control);
	}

	#tick(index: number): void {
		this.#step(index, {type: 'tick'});
		this.cluster.events.scheduleAfter(tickMs, () => {
			this.#tick(index);
		});
	}

	#step(index: number, event: EdgeEvent): void {
		for (const action of this.entries[index]!.step(event, this.cluster.now as Millis)) {
			if (action.type !== 'send') {
				continue;
			}

			const to = this.cluster.nodes.findIndex(({nodeId}) => nodeId === action.to);
			const message = jsonCopy(action.message);
			this.cluster.events.scheduleAfter(delayMs, () => {
				if (to !== -1) {
					this.cluster.step(to, {type: 'peer', from: this.#entryIds[index]!, message});
				}
			});
		}
	}
}

for (const seed of [2, 18, 27]) {
	test(`accepted versions are in force at entries whose seeds are replaced and whose control node is cut off from the others, seed ${seed}`, t => {
		const deployment = new Deployment(seed);
		const {cluster, entries} = deployment;
		const initial = [0, 1, 2, 3, 4];
		for (const index of initial) {
			cluster.start(index, {firstStart: true});
		}

		deployment.startEntries();
		cluster.runUntil(() => deployment.accept(0, 1), 20_000);
		for (const gone of [0, 1, 2]) {
			cluster.start(initial.length + gone, {emptyDisk: true});
			cluster.run(catchUpMs);
			cluster.kill(gone);
			cluster.run(2 * catchUpMs);
		}

		t.is(cluster.voters(), 5);
		const leader = cluster.leader()!;
		const cutOff = deployment.followed([...entries.keys()].find(entry => deployment.followed(entry) !== leader)!);
		cluster.setPartition([cutOff], [...cluster.nodes.keys()].filter(index => index !== cutOff), true);
		const cutAt = cluster.now;
		const acks: Array<{version: number; at: number}> = [];
		/** Entries that were late, with the newest version due and the one in force at the last time. */
		const late = new Map<string, {times: number; due: number; inForce: number}>();
		for (let version = 2; cluster.now < cutAt + cutMs; version++) {
			if (deployment.accept(leader, version)) {
				acks.push({version, at: cluster.now});
			}

			cluster.run(changeEveryMs);
			const due = Math.max(0, ...acks.filter(({at}) => cluster.now - at > applyMs).map(ack => ack.version));
			for (const [index, entry] of entries.entries()) {
				const inForce = entry.documentVersion ?? 0;
				if (cluster.now - cutAt > stabilityWindowMs && inForce < due) {
					const name = `entry ${index + 1}`;
					late.set(name, {times: (late.get(name)?.times ?? 0) + 1, due, inForce});
				}
			}
		}

		t.true(acks.length > 10, `${acks.length} versions accepted`);
		t.deepEqual(Object.fromEntries(late), {});
	});
}
