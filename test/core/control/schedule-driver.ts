import assert from 'node:assert/strict';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {Zone} from '../../../src/core/ids/zone.ts';
import type {OperatorCall} from '../../../src/core/control/operator-call.ts';
import {ControlCluster} from '../../fixtures/control-cluster.ts';
import {CutLinks} from './cut-links.ts';
import {isRepaired} from './is-repaired.ts';
import {ListedNodes} from './listed-nodes.ts';
import {MachineLosses} from './machine-losses.ts';
import {ScheduleChecker} from './schedule-checker.ts';
import type {ScheduleStep} from './schedule-step.ts';

const zones = [toId<Zone>('regina-a'), toId<Zone>('winnipeg-b')];
/** Machines, and disks, that may be lost at the same time in the first deployments. */
const tolerated = 2;
const voters = (2 * tolerated) + 1;
/** Nodes that may take the place of others in one schedule. */
const successors = 24;
/** Time within which control nodes must serve again after the last fault, in milliseconds (required recovery time of the first deployments). */
const recoveryMs = 15_000;
/** Time until the first records of all nodes are synced, in milliseconds; nothing can be required of a node before that. */
const firstSyncMs = 250;
/** Time within which a call must be answered, in milliseconds. */
const callMs = 2000;
const checkEveryMs = 50;

type DriverOptions = {
	readonly seed: number;
	/** @default as many as vote */
	readonly machines?: number;
	/** Keeps to the losses that a deployment must bear without a suspension of its service, once all voters run; otherwise only to the number of lost disks. */
	readonly servesThroughout?: boolean;
};

/** Drives control nodes through a schedule of faults and calls; an assertion fails if an accepted change is lost or a read is stale. */
export class ScheduleDriver {
	readonly #cluster: ControlCluster;
	readonly #checker: ScheduleChecker;
	#sentVersion = 0;
	readonly #servesThroughout: boolean;
	readonly #losses: MachineLosses;
	/** Index of the node on each machine. */
	readonly #nodes: number[];
	/** Times at which successors start, by machine. */
	readonly #startsAt = new Map<number, number>();
	readonly #lists: ListedNodes;
	readonly #links: CutLinks;
	#lastReplaced = 0;
	#used: number;

	constructor({seed, machines = voters, servesThroughout = false}: DriverOptions) {
		this.#servesThroughout = servesThroughout;
		this.#nodes = [...Array.from({length: machines}).keys()];
		this.#lists = new ListedNodes(this.#nodes);
		this.#used = machines;
		this.#cluster = new ControlCluster({
			nodes: machines + successors, seed, tolerated, syncMs: {least: 0.5, most: 120},
		});
		this.#checker = new ScheduleChecker(this.#cluster);
		this.#links = new CutLinks(this.#cluster);
		for (const index of this.#nodes) {
			this.#cluster.start(index, {firstStart: true});
		}

		this.#losses = new MachineLosses({tolerated, machines, recoveryMs});
		this.#cluster.run(firstSyncMs);
		if (servesThroughout) {
			assert.ok(this.#cluster.runUntil(() => isRepaired(this.#cluster, this.#nodes, voters), recoveryMs), 'all voters in time after the first start');
			this.#losses.endAll();
		}
	}

	/** Number of answers checked so far. */
	get answers(): number {
		return this.#checker.answers;
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
				const minVersion = this.#checker.acceptedVersion;
				this.#call(step.node, {type: 'read'}, callId => ({type: 'read', callId, minVersion}));
				break;
			}

			case 'links': {
				this.#cluster.loss = step.loss;
				this.#cluster.duplicates = step.duplicates;
				break;
			}

			case 'cut': {
				if (this.#mayDisturb(step.nodes)) {
					this.#links.cut(step.nodes.map(machine => this.#nodes[machine]!), step.direction);
				}

				break;
			}

			case 'join': {
				this.#links.mend();
				break;
			}

			case 'disk': {
				if (!step.full || this.#mayDisturb([step.node])) {
					this.#node(step.node).full = step.full;
				}

				break;
			}

			case 'replace': {
				this.#replace(step);
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

		this.#observeLosses();
		this.#checker.check();
	}

	/** Ends all faults and checks that the nodes serve again in time with every accepted change. */
	finish(): void {
		assert.ok(this.#repair(), 'five voters again in time');
		assert.ok(this.#changeAccepted(), 'a change is accepted again in time');
		for (const node of this.#nodes.keys()) {
			this.perform({type: 'read', node});
		}

		const {answers} = this;
		this.#run(callMs);
		assert.equal(this.answers - answers, this.#nodes.length, 'every node answers a read after the repair');
		const leader = this.#cluster.leader()!;
		const {evacuated} = this.#cluster.nodes[leader]!.core!.status(this.#cluster.clock(leader));
		this.#checker.checkEvacuated(evacuated);
	}

	/** Sends changes until one is accepted, as an election may still be under way; false if none is accepted in time. */
	#changeAccepted(): boolean {
		const before = this.#checker.acceptedVersion;
		for (const until = this.#cluster.now + recoveryMs; this.#checker.acceptedVersion === before && this.#cluster.now < until;) {
			this.perform({type: 'document', node: 1, ahead: 1});
			this.#run(callMs);
		}

		return this.#checker.acceptedVersion > before;
	}

	#run(ms: number): void {
		for (let passed = 0; passed < ms; passed += checkEveryMs) {
			this.#cluster.run(checkEveryMs);
			for (const [machine, at] of this.#startsAt) {
				if (at <= this.#cluster.now) {
					this.#start(machine);
				}
			}

			this.#observeLosses();
			this.#checker.check();
		}
	}

	/** The node on a machine. */
	#node(machine: number): ControlCluster['nodes'][number] {
		return this.#cluster.nodes[this.#nodes[machine]!]!;
	}

	/** Starts the node of a machine with the settings in effect; with none replaced yet these are the first ones. */
	#start(machine: number, emptyDisk = false, ageMs = 0, firstSeed = machine): void {
		this.#startsAt.delete(machine);
		const seeds = this.#used === this.#nodes.length ? undefined : this.#seeds(machine, ageMs, firstSeed);
		this.#cluster.start(this.#nodes[machine]!, {emptyDisk, seeds});
	}

	/** Three of the nodes that were listed a time ago. */
	#seeds(machine: number, ageMs: number, first: number): readonly number[] {
		const chosen = this.#lists.seeds(first, this.#cluster.now - ageMs);
		// With two losses at a time, one of three nodes that were listed a moment ago still is, beside the one that the successor replaces.
		return ageMs === 0 || chosen.some(index => this.#nodes.includes(index) && index !== this.#nodes[machine]) ? chosen : this.#seeds(machine, 0, first);
	}

	/** Removes the node of a machine for good; another one takes its place at a new address and with an empty disk. */
	#replace({node, again, waits, plannedMs, afterMs, seedAgeMs, firstSeed}: ScheduleStep & {type: 'replace'}): void {
		const machine = this.#replaceable(again ? this.#lastReplaced : node, waits);
		if (machine === undefined || this.#startsAt.has(machine) || this.#used === this.#cluster.nodes.length) {
			return;
		}

		const old = this.#nodes[machine]!;
		const successor = this.#used;
		this.#used += 1;
		this.#lastReplaced = machine;
		const seeds = this.#seeds(machine, seedAgeMs, firstSeed);
		if (plannedMs !== undefined && this.#cluster.nodes[old]!.core !== undefined) {
			this.#cluster.start(successor, {seeds});
			this.#run(plannedMs);
			this.#cluster.kill(old);
			this.#list(machine, successor);
			// From the end of the old one, not from the start of its successor: one that has run for long enough would leave no time to hand on the vote.
			this.#losses.loseDisk(machine, this.#cluster.now);
			return;
		}

		this.#cluster.kill(old);
		this.#list(machine, successor);
		this.#losses.loseDisk(machine, this.#cluster.now);
		if (afterMs > 0) {
			this.#startsAt.set(machine, this.#cluster.now + afterMs);
		} else {
			this.#cluster.start(successor, {seeds});
		}
	}

	#list(machine: number, node: number): void {
		this.#nodes[machine] = node;
		this.#lists.add(this.#nodes, this.#cluster.now);
	}

	/** The machine whose node may be removed: the given one, after a wait if need be, or one that is lost already. */
	#replaceable(machine: number, waits: boolean): number | undefined {
		if (!this.#servesThroughout) {
			// A node that goes for good before the log exists is a matter of its founding.
			const isFormed = this.#losses.isFormed || this.#repair();
			return isFormed && this.#mayLoseDisks([machine]) ? machine : undefined;
		}

		const mayGo = () => this.#losses.mayLose([machine], this.#cluster.now);
		if (!mayGo() && !waits) {
			return this.#losses.lostMachines(this.#cluster.now).at(0);
		}

		for (const until = this.#cluster.now + recoveryMs; !mayGo() && this.#cluster.now < until;) {
			this.#run(checkEveryMs);
		}

		return mayGo() ? machine : undefined;
	}

	/** True if the machines may be lost without their disks. */
	#mayDisturb(machines: readonly number[]): boolean {
		return !this.#servesThroughout || this.#losses.mayLose(machines, this.#cluster.now);
	}

	#observeLosses(): void {
		const impaired = [...this.#nodes.keys()].filter(machine => {
			const {core, held, full, failed} = this.#node(machine);
			const index = this.#nodes[machine]!;
			return core === undefined || held !== undefined || full || failed.length > 0 || this.#links.isCut(index);
		});
		const linksImpaired = this.#cluster.loss > 0 || this.#cluster.duplicates > 0;
		this.#losses.observe(impaired, linksImpaired, this.#cluster.now);
	}

	#call(machine: number, call: OperatorCall, sent: (callId: string) => Parameters<ScheduleChecker['add']>[0]): void {
		if (this.#node(machine).core !== undefined) {
			this.#checker.add(sent(this.#cluster.call(this.#nodes[machine]!, call)));
		}
	}

	/** Sends one command for a zone at a time, so that its last definite answer determines the zone's state. */
	#evacuate(node: number, zone: Zone, active: boolean): void {
		const {core} = this.#node(node);
		if (core === undefined || this.#checker.isEvacuating(zone)) {
			return;
		}

		this.#call(node, {
			type: 'change',
			command: {
				type: 'evacuation', zone, active, basis: core.evacuationBasis(zone),
			},
		}, callId => ({
			type: 'evacuation', callId, zone, active,
		}));
	}

	#fault(type: 'crash' | 'start' | 'freeze' | 'thaw' | 'lose-disk', machine: number, survivors: number): void {
		const {core, held} = this.#node(machine);
		const index = this.#nodes[machine]!;
		if (type === 'start' && core === undefined && !this.#startsAt.has(machine)) {
			this.#start(machine);
		} else if (type === 'thaw' && held !== undefined) {
			this.#cluster.freeze(index, false);
		} else if (type === 'crash' && this.#mayDisturb([machine])) {
			this.#cluster.kill(index, survivors);
		} else if (type === 'freeze' && core !== undefined && held === undefined && this.#mayDisturb([machine])) {
			this.#cluster.freeze(index, true);
		} else if (type === 'lose-disk' && !this.#startsAt.has(machine) && this.#mayLoseDisks([machine])) {
			this.#cluster.kill(index);
			this.#start(machine, true);
			this.#losses.loseDisk(machine, this.#cluster.now);
		}
	}

	/** All nodes lose power at once; the machines in `lost` lose their disks too, if the tolerated number allows it. */
	#cutPower(survivors: number, lost: readonly number[]): void {
		const wiped = this.#mayLoseDisks(lost) ? lost : [];
		const powered = [...this.#nodes.keys()].filter(machine => !this.#startsAt.has(machine));
		for (const machine of powered) {
			this.#cluster.kill(this.#nodes[machine]!, survivors);
		}

		this.#observeLosses();
		for (const machine of powered) {
			this.#start(machine, wiped.includes(machine));
			if (wiped.includes(machine)) {
				this.#losses.loseDisk(machine, this.#cluster.now);
			}
		}

		if (this.#servesThroughout) {
			assert.ok(this.#repair(), 'five voters again in time after a loss of power');
		}
	}

	/** True if these disks may be lost too; otherwise repairs the cluster first, unless it must serve throughout. */
	#mayLoseDisks(machines: readonly number[]): boolean {
		const mayLose = () => this.#losses.mayLoseDisks(machines, this.#cluster.now);
		if (this.#servesThroughout) {
			return this.#losses.mayLose(machines, this.#cluster.now);
		}

		if (!mayLose()) {
			this.#repair();
		}

		return mayLose();
	}

	#repair(): boolean {
		this.#links.mend();
		this.#cluster.loss = 0;
		this.#cluster.duplicates = 0;
		for (const machine of this.#nodes.keys()) {
			const node = this.#node(machine);
			node.full = false;
			if (node.core === undefined) {
				this.#start(machine);
			} else if (node.held !== undefined) {
				this.#cluster.freeze(this.#nodes[machine]!, false);
			}
		}

		const repaired = this.#cluster.runUntil(() => {
			this.#checker.check();
			return isRepaired(this.#cluster, this.#nodes, voters);
		}, recoveryMs);
		if (repaired) {
			this.#losses.endAll();
		}

		return repaired;
	}
}
