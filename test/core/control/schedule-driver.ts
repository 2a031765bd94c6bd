import assert from 'node:assert/strict';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {Zone} from '../../../src/core/ids/zone.ts';
import type {OperatorCall} from '../../../src/core/control/operator-call.ts';
import {ControlCluster} from '../../fixtures/control-cluster.ts';
import type {ScheduleStep} from './schedule-step.ts';

type SentCall =
	| {readonly type: 'document'; readonly callId: string; readonly version: number}
	| {readonly type: 'evacuation'; readonly callId: string; readonly zone: Zone; readonly active: boolean}
	/** A read; `minVersion` is the newest version that was accepted before it was sent. */
	| {readonly type: 'read'; readonly callId: string; readonly minVersion: number};

const zones = [toId<Zone>('regina-a'), toId<Zone>('winnipeg-b')];
const nodes = 5;
/** Disks that may be lost at the same time in the first deployments. */
const tolerated = 2;
/** Time within which control nodes must serve again after the last fault, in milliseconds (required recovery time of the first deployments). */
const recoveryMs = 15_000;
/** Time until the first records of all nodes are synced, in milliseconds; nothing can be required of a node before that. */
const firstSyncMs = 250;
/** Time within which a call must be answered, in milliseconds. */
const callMs = 2000;
const checkEveryMs = 50;

/** Drives five control nodes through a schedule of faults and calls; an assertion fails if an accepted change is lost or a read is stale. */
export class ScheduleDriver {
	/** Number of answers checked so far. */
	answers = 0;
	readonly #cluster: ControlCluster;
	/** Newest document version seen at each run of a node. */
	readonly #seenVersions = new Map<string, number>();
	/** Expected evacuation of each zone after its last accepted command; undefined after a command without a definite answer. */
	readonly #expectedEvacuations = new Map<Zone, boolean | undefined>();
	#calls: SentCall[] = [];
	#sentVersion = 0;
	/** Newest document version that was accepted. */
	#acceptedVersion = 0;
	/** Disks lost since all nodes last caught up. Starts one below the limit: a log that loses the disks of most initial members before it exists looks like one that lost all of them. */
	#lostDisks = tolerated - 1;

	constructor(seed: number) {
		this.#cluster = new ControlCluster({
			nodes, seed, tolerated, syncMs: {least: 0.5, most: 120},
		});
		this.#cluster.startAll();
		this.#cluster.run(firstSyncMs);
	}

	perform(step: ScheduleStep): void {
		switch (step.type) {
			case 'run': {
				this.#run(step.ms);
				break;
			}

			case 'document': {
				this.#sentVersion += step.ahead;
				const version = this.#sentVersion;
				this.#call(step.node, {type: 'change', command: {type: 'document', document: {version, text: `document ${version}`}}}, callId => ({type: 'document', callId, version}));
				break;
			}

			case 'evacuation': {
				this.#evacuate(step.node, zones[step.zone]!, step.active);
				break;
			}

			case 'read': {
				const minVersion = this.#acceptedVersion;
				this.#call(step.node, {type: 'read'}, callId => ({type: 'read', callId, minVersion}));
				break;
			}

			case 'links': {
				this.#cluster.loss = step.loss;
				this.#cluster.duplicates = step.duplicates;
				break;
			}

			case 'cut': {
				this.#cut(step.nodes, step.direction);
				break;
			}

			case 'join': {
				this.#cluster.cut.clear();
				break;
			}

			case 'disk': {
				this.#cluster.nodes[step.node]!.full = step.full;
				break;
			}

			case 'power-cut': {
				this.#cutPower(step.survivors, step.lost);
				break;
			}

			case 'crash':
			case 'start':
			case 'freeze':
			case 'thaw':
			case 'lose-disk': {
				this.#fault(step.type, step.node, step.survivors);
				break;
			}
		}

		this.#check();
	}

	/** Ends all faults and checks that the nodes serve again in time with every accepted change. */
	finish(): void {
		assert.ok(this.#repair(), 'five voters again in time');
		assert.ok(this.#changeAccepted(), 'a change is accepted again in time');
		for (const node of this.#cluster.nodes.keys()) {
			this.perform({type: 'read', node});
		}

		const {answers} = this;
		this.#run(callMs);
		assert.equal(this.answers - answers, nodes, 'every node answers a read after the repair');
		const leader = this.#cluster.leader()!;
		const {evacuated} = this.#cluster.nodes[leader]!.core!.status(this.#cluster.clock(leader));
		for (const [zone, active] of this.#expectedEvacuations) {
			if (active !== undefined) {
				assert.equal(evacuated.includes(zone), active, `evacuation of ${zone}`);
			}
		}
	}

	/** Sends changes until one is accepted, as an election may still be under way; false if none is accepted in time. */
	#changeAccepted(): boolean {
		const before = this.#acceptedVersion;
		for (const until = this.#cluster.now + recoveryMs; this.#acceptedVersion === before && this.#cluster.now < until;) {
			this.perform({type: 'document', node: 1, ahead: 1});
			this.#run(callMs);
		}

		return this.#acceptedVersion > before;
	}

	#run(ms: number): void {
		for (let passed = 0; passed < ms; passed += checkEveryMs) {
			this.#cluster.run(checkEveryMs);
			this.#check();
		}
	}

	#call(node: number, call: OperatorCall, sent: (callId: string) => SentCall): void {
		if (this.#cluster.nodes[node]!.core !== undefined) {
			this.#calls.push(sent(this.#cluster.call(node, call)));
		}
	}

	/** Sends one command for a zone at a time, so that its last definite answer determines the zone's state. */
	#evacuate(node: number, zone: Zone, active: boolean): void {
		const {core} = this.#cluster.nodes[node]!;
		if (core === undefined || this.#calls.some(call => call.type === 'evacuation' && call.zone === zone)) {
			return;
		}

		this.#expectedEvacuations.set(zone, undefined);
		this.#call(node, {
			type: 'change',
			command: {
				type: 'evacuation', zone, active, basis: core.evacuationBasis(zone),
			},
		}, callId => ({
			type: 'evacuation', callId, zone, active,
		}));
	}

	#cut(cutOff: readonly number[], direction: 'both' | 'in' | 'out'): void {
		for (const index of cutOff) {
			for (const other of this.#cluster.nodes.keys()) {
				if (!cutOff.includes(other)) {
					if (direction !== 'in') {
						this.#cluster.cut.add(`${index}>${other}`);
					}

					if (direction !== 'out') {
						this.#cluster.cut.add(`${other}>${index}`);
					}
				}
			}
		}
	}

	#fault(type: 'crash' | 'start' | 'freeze' | 'thaw' | 'lose-disk', index: number, survivors: number): void {
		const {core, held} = this.#cluster.nodes[index]!;
		if (type === 'crash') {
			this.#cluster.kill(index, survivors);
		} else if (type === 'start' && core === undefined) {
			this.#cluster.start(index);
		} else if (type === 'freeze' && core !== undefined && held === undefined) {
			this.#cluster.freeze(index, true);
		} else if (type === 'thaw' && held !== undefined) {
			this.#cluster.freeze(index, false);
		} else if (type === 'lose-disk' && this.#mayLoseDisks(1)) {
			this.#cluster.kill(index);
			this.#cluster.start(index, {emptyDisk: true});
			this.#lostDisks += 1;
		}
	}

	/** All nodes lose power at once; the nodes in `lost` lose their disks too, if the tolerated number allows it. */
	#cutPower(survivors: number, lost: readonly number[]): void {
		const wiped = this.#mayLoseDisks(lost.length) ? lost : [];
		this.#lostDisks += wiped.length;
		for (const index of this.#cluster.nodes.keys()) {
			this.#cluster.kill(index, survivors);
		}

		for (const index of this.#cluster.nodes.keys()) {
			this.#cluster.start(index, {emptyDisk: wiped.includes(index)});
		}
	}

	/** True if that many more disks may be lost; repairs the cluster first when the tolerated number is used up. */
	#mayLoseDisks(count: number): boolean {
		if (this.#lostDisks + count > tolerated && this.#repair()) {
			this.#lostDisks = 0;
		}

		return this.#lostDisks + count <= tolerated;
	}

	#repair(): boolean {
		this.#cluster.cut.clear();
		this.#cluster.loss = 0;
		this.#cluster.duplicates = 0;
		for (const [index, node] of this.#cluster.nodes.entries()) {
			const {core, held} = node;
			node.full = false;
			if (core === undefined) {
				this.#cluster.start(index);
			} else if (held !== undefined) {
				this.#cluster.freeze(index, false);
			}
		}

		return this.#cluster.runUntil(() => {
			this.#check();
			return this.#repaired();
		}, recoveryMs);
	}

	#repaired(): boolean {
		const leader = this.#cluster.leader();
		if (leader === undefined) {
			return false;
		}

		const {voters, learners, commitIndex, lastIndex} = this.#cluster.nodes[leader]!.core!.status(this.#cluster.clock(leader)).consensus;
		const commitIndexes = this.#cluster.nodes.map((node, index) => node.core!.status(this.#cluster.clock(index)).consensus.commitIndex);
		return voters.length === nodes && learners.length === 0 && commitIndex === lastIndex && commitIndexes.every(level => level === commitIndex);
	}

	#check(): void {
		this.#checkVersions();
		this.#calls = this.#calls.filter(call => {
			const answer = this.#cluster.answers.get(call.callId);
			if (answer !== undefined && answer.type !== 'unavailable') {
				this.answers += 1;
				this.#checkAnswer(call, answer);
			}

			return answer === undefined;
		});
	}

	#checkAnswer(call: SentCall, answer: {type: 'accepted'} | {type: 'document'; document: {version: number; text: string} | undefined}): void {
		if (call.type === 'document') {
			this.#acceptedVersion = Math.max(this.#acceptedVersion, call.version);
		} else if (call.type === 'evacuation') {
			this.#expectedEvacuations.set(call.zone, call.active);
		} else if (answer.type === 'document') {
			const version = answer.document?.version ?? 0;
			assert.ok(version >= call.minVersion, `a read gave version ${version} after ${call.minVersion} had been accepted`);
			assert.equal(answer.document?.text, version === 0 ? undefined : `document ${version}`);
		}
	}

	/** Checks that no process goes back to an older document version. */
	#checkVersions(): void {
		for (const [index, {core, run}] of this.#cluster.nodes.entries()) {
			const version = core?.status(this.#cluster.clock(index)).documentVersion ?? 0;
			const key = `${index} ${run}`;
			const before = this.#seenVersions.get(key) ?? 0;
			assert.ok(core === undefined || version >= before, `node ${index} went from version ${before} back to ${version}`);
			this.#seenVersions.set(key, Math.max(version, before));
		}
	}
}
