import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {SimCluster} from '../../fixtures/sim-cluster.ts';
import {makeChange} from '../tree/make-change.ts';
import {ClusterChecker} from './cluster-checker.ts';

type Step =
	| {readonly type: 'run'; readonly ms: number}
	/** Submits a change whose number is higher by `ahead` than the highest revision. */
	| {readonly type: 'change'; readonly node: number; readonly ahead: number; readonly operations: number}
	| {readonly type: 'resend'; readonly node: number; readonly change: number}
	/** `isolate` cuts all links of the node, `join` restores them. */
	| {readonly type: 'crash' | 'start' | 'isolate' | 'join' | 'lose-disk'; readonly node: number; readonly survivors: number}
	/** Writes of the node fail, until its disk has room again. */
	| {readonly type: 'disk'; readonly node: number; readonly full: boolean}
	/** All control nodes lose power at the same time. */
	| {readonly type: 'power-cut'; readonly survivors: number}
	| {readonly type: 'links'; readonly loss: number; readonly duplicates: number};

const node = fc.nat(6);
const faults = ['crash', 'crash', 'start', 'start', 'isolate', 'join', 'lose-disk'] as const;
const step: fc.Arbitrary<Step> = fc.oneof(
	{weight: 5, arbitrary: fc.record({type: fc.constant('run' as const), ms: fc.integer({min: 20, max: 2500})})},
	{
		weight: 6, arbitrary: fc.record({
			type: fc.constant('change' as const), node, ahead: fc.constantFrom(1, 1, 1, 2), operations: fc.nat(1),
		}),
	},
	{weight: 1, arbitrary: fc.record({type: fc.constant('resend' as const), node, change: fc.nat(30)})},
	{weight: 7, arbitrary: fc.record({type: fc.constantFrom(...faults), node, survivors: fc.nat(2)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('power-cut' as const), survivors: fc.nat(2)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('links' as const), loss: fc.constantFrom(0, 0, 0.1, 0.3), duplicates: fc.constantFrom(0, 0.2)})},
);

const diskStep: fc.Arbitrary<Step> = fc.record({type: fc.constant('disk' as const), node, full: fc.boolean()});

/** Runs one cluster through random steps; the checker throws when a safety property is violated. */
class FaultDriver {
	readonly #cluster: SimCluster;
	readonly #checker: ClusterChecker;
	readonly #names: readonly string[];
	#changes = 0;

	constructor(t: ExecutionContext, options: {members: number; seed: number}) {
		this.#cluster = new SimCluster({
			...options,
			entries: 2,
			syncMs: [1, 120],
			limits: {snapshotEntries: 8, keptEntries: 4, chunkLength: 700},
		});
		this.#checker = new ClusterChecker(t, this.#cluster);
		this.#names = [...this.#cluster.nodes.keys()];
		this.#heal();
	}

	execute(step: Step): void {
		switch (step.type) {
			case 'run': {
				this.#run(step.ms);
				break;
			}

			case 'change': {
				this.#submit(step);
				break;
			}

			case 'resend': {
				this.#resend(step);
				break;
			}

			case 'links': {
				this.#cluster.loss = step.loss;
				this.#cluster.duplicates = step.duplicates;
				break;
			}

			case 'power-cut': {
				this.#cutPower(step.survivors);
				break;
			}

			case 'disk': {
				this.#cluster.node(this.#names[step.node % this.#names.length]!).full = step.full;
				break;
			}

			case 'crash':
			case 'start':
			case 'isolate':
			case 'join':
			case 'lose-disk': {
				this.#fault(step.type, this.#names[step.node % this.#names.length]!, step.survivors);
				break;
			}
		}

		this.#checker.check();
	}

	/** Repairs all faults and checks that all answers still hold, also after another change. */
	finish(t: ExecutionContext): number {
		this.#heal();
		t.true(this.#runUntilSettled());
		const revision = this.#highestRevision();
		const change = makeChange({changeId: 'last', number: revision + 1});
		this.#checker.submitted.set('last', change);
		const accepted = () => {
			this.#cluster.act('e1', (process, now) => {
				process.service.submit(change, now);
			});
			return this.#cluster.runUntil(() => this.#cluster.process('e1').service.tree.revision > revision, 5000);
		};

		t.true(accepted() || accepted());
		t.true(this.#runUntilSettled());
		this.#run(2000);
		this.#checker.checkAnswers();
		return this.#checker.answers;
	}

	#run(ms: number): void {
		for (let passed = 0; passed < ms; passed += 50) {
			this.#cluster.run(50);
			this.#checker.check();
		}
	}

	#submit({node, ahead, operations}: Step & {type: 'change'}): void {
		this.#changes += 1;
		const change = makeChange({
			changeId: `change-${this.#changes}`,
			number: this.#highestRevision() + ahead,
			operations: operations === 0 ? [] : [{op: 'create', path: `f${this.#changes}`}],
		});
		this.#checker.submitted.set(change.changeId, change);
		this.#send(node, change.changeId);
	}

	#resend({node, change}: Step & {type: 'resend'}): void {
		if (this.#changes > 0) {
			this.#send(node, `change-${(change % this.#changes) + 1}`);
		}
	}

	#send(node: number, changeId: string): void {
		this.#cluster.act(this.#names[node % this.#names.length]!, (process, now) => {
			process.service.submit(this.#checker.submitted.get(changeId)!, now);
		});
	}

	#fault(type: 'crash' | 'start' | 'isolate' | 'join' | 'lose-disk', name: string, survivors: number): void {
		const running = this.#cluster.node(name).process !== undefined;
		if (type === 'crash' && running) {
			this.#cluster.crash(name, survivors);
		} else if (type === 'start' && !running) {
			this.#cluster.start(name);
		} else if (type === 'isolate' || type === 'join') {
			this.#cluster.isolate(name, type === 'isolate');
		} else if (type === 'lose-disk') {
			this.#loseDisk(name);
		}
	}

	#cutPower(survivors: number): void {
		for (const nodeId of this.#cluster.controlIds) {
			this.#cluster.crash(nodeId, survivors);
			this.#cluster.start(nodeId);
		}
	}

	/** The log tolerates the loss of a minority of data folders only: they are lost one at a time, each right after the last repair. */
	#loseDisk(name: string): void {
		const {control} = this.#cluster.node(name);
		if (control && (this.#isRepaired() || this.#repair())) {
			this.#cluster.crash(name);
			this.#cluster.start(name, {emptyDisk: true});
		}
	}

	#repair(): boolean {
		this.#heal();
		return this.#cluster.runUntil(() => this.#isRepaired(), 15_000);
	}

	#isRepaired(): boolean {
		const leader = this.#cluster.leader();
		const voting = new Set(['leader', 'follower', 'candidate']);
		const roles = this.#cluster.controlIds.map(nodeId => this.#cluster.node(nodeId).process?.member!.status().role);
		if (leader === undefined || roles.some(role => role === undefined || !voting.has(role))) {
			return false;
		}

		const {voters, learners, commitIndex, lastIndex} = this.#cluster.process(leader).member!.status();
		return voters.length === this.#cluster.controlIds.length && learners.length === 0 && commitIndex === lastIndex;
	}

	#heal(): void {
		this.#cluster.cut.clear();
		this.#cluster.loss = 0;
		this.#cluster.duplicates = 0;
		for (const name of this.#names) {
			this.#cluster.node(name).full = false;
			if (this.#cluster.node(name).process === undefined) {
				this.#cluster.start(name);
			}
		}
	}

	#runUntilSettled(): boolean {
		return this.#cluster.runUntil(() => {
			this.#checker.check();
			const newest = this.#highestRevision();
			const upToDate = this.#names.every(name => this.#cluster.process(name).service.tree.revision === newest);
			return upToDate && this.#isRepaired();
		}, 40_000);
	}

	#highestRevision(): number {
		const revisions = this.#names.map(name => this.#cluster.node(name).process?.service.tree.revision ?? 0);
		return Math.max(...revisions);
	}
}

for (const {members, faults, arbitrary} of [
	{members: 3, faults: 'lost messages', arbitrary: step},
	{members: 5, faults: 'lost messages', arbitrary: step},
	{members: 3, faults: 'lost messages, and full disks', arbitrary: fc.oneof({weight: 20, arbitrary: step}, {weight: 5, arbitrary: diskStep})},
	{members: 5, faults: 'lost messages, and full disks', arbitrary: fc.oneof({weight: 20, arbitrary: step}, {weight: 5, arbitrary: diskStep})},
]) {
	test(`${members} members: answers hold under any order of crashes, lost data folders, network cuts and ${faults}`, t => {
		let answers = 0;
		const steps = fc.array(arbitrary, {minLength: 30, maxLength: 60});
		fc.assert(fc.property(fc.nat(1_000_000), steps, (seed, list) => {
			const driver = new FaultDriver(t, {members, seed});
			for (const step of list) {
				driver.execute(step);
			}

			answers += driver.finish(t);
		}), {seed: 7, numRuns: members === 3 ? 200 : 80, endOnFailure: true});
		t.log(`${answers} answers held`);
		t.true(answers > 500);
	});
}
