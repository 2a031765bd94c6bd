import type {Outbox} from '../src/core/common/outbox.ts';
import type {Millis} from '../src/core/ids/millis.ts';
import type {NodeId} from '../src/core/ids/node-id.ts';
import type {Region} from '../src/core/ids/region.ts';
import type {TargetId} from '../src/core/ids/target-id.ts';
import {toId} from '../src/core/ids/to-id.ts';
import type {RegionView} from '../src/core/membership/region-view.ts';
import type {RoutingStep} from '../src/core/routing/routing-step.ts';
import {routeSettingsFixture} from '../test/fixtures/route-settings-fixture.ts';
import {createPolicyTargets} from './create-policy-targets.ts';
import {scheduleScenario} from './schedule-scenario.ts';
import {PolicyClock} from './policy-clock.ts';
import type {PolicyDeployment} from './policy-deployment.ts';
import type {PolicyEngine} from './policy-engine.ts';
import {PolicyEntry} from './policy-entry.ts';
import type {PolicyLoad} from './policy-load.ts';
import type {PolicyRecord} from './policy-record.ts';
import type {PolicyScenario} from './policy-scenario.ts';
import type {PolicyTarget} from './policy-target.ts';

/** Age of the load figures and cache events when an entry receives the announcement, in milliseconds. */
const reportLagMs = 2000;

const announceIntervalMs = 1000;
const summaryIntervalMs = 1000;
const tickMs = 50;

/** One-way delay between an entry and a target or another entry of its region, in milliseconds. */
const hopMs = 1;

/** Time after the last arrival for requests in flight to finish, in milliseconds. */
const drainMs = 90_000;

/** Simulates one run: the engines and plain services, the entries, the network between them and one generated load. */
export class PolicyRun {
	readonly records: PolicyRecord[] = [];
	readonly #clock = new PolicyClock();
	readonly #deployment: PolicyDeployment;
	readonly #targets: PolicyTarget[];
	readonly #entries: PolicyEntry[];
	#regionViews: RegionView[] = [];

	constructor(options: {deployment: PolicyDeployment; seed: number; steps: (seed: number) => readonly RoutingStep[] | undefined}) {
		this.#deployment = options.deployment;
		this.#targets = createPolicyTargets(options.deployment, this.#clock);
		this.#entries = this.#createEntries(options.seed, options.steps);
	}

	get engines(): readonly PolicyEngine[] {
		return this.#targets.filter(({service}) => service === 'engines').map(({engine}) => engine);
	}

	run(items: ReturnType<PolicyLoad['draw']>, scenario: PolicyScenario, durationMs: number): void {
		for (const target of this.#targets) {
			this.#scheduleEvery(announceIntervalMs, () => {
				this.#announce(target);
			});
		}

		this.#scheduleEvery(tickMs, () => {
			for (const entry of this.#entries) {
				entry.tick();
			}
		});
		this.#scheduleEvery(summaryIntervalMs, () => {
			this.#regionViews = this.#deployment.regions.map((region, index) => this.#createRegionView(region.name, index));
		});
		scheduleScenario(this.#targets, {scenario, durationMs, clock: this.#clock});
		for (const item of items) {
			this.#clock.scheduleAfter(item.at, () => {
				this.#arrive(item);
			});
		}

		this.#clock.runUntil(durationMs + drainMs);
	}

	#arrive(item: ReturnType<PolicyLoad['draw']>[number]): void {
		const {req} = item;
		const record: PolicyRecord = {
			kind: req.kind,
			organisation: req.organisation,
			priority: req.priority,
			tokens: item.outputTokens,
			arrivedAt: item.at,
			deadlineAt: req.deadlineAt,
			away: false,
		};
		this.records.push(record);
		const entries = this.#entriesIn(item.region);
		entries[this.records.length % entries.length]!.receive({
			req, outputTokens: item.outputTokens, record, tried: {targets: new Set(), regions: new Set()},
		});
	}

	#forward(item: Parameters<PolicyEntry['receive']>[0], from: NodeId, to: Region): void {
		const sender = this.#entries.find(entry => entry.nodeId === from)!;
		const index = this.#deployment.regions.findIndex(region => region.name === to);
		const receivers = this.#entriesIn(index);
		const receiver = receivers[this.records.length % receivers.length]!;
		const oneWayMs = this.#deployment.roundTripMs / 2;
		this.#clock.scheduleAfter(oneWayMs, () => {
			receiver.receive({
				...item,
				req: {...item.req, forwardedBy: {nodeId: from, region: sender.region, revision: 1}},
				tried: {targets: new Set(), regions: new Set()},
				record: this.#remoteRecord(item.record, oneWayMs),
				refused: () => {
					this.#clock.scheduleAfter(oneWayMs, () => {
						sender.receive(item);
					});
				},
			});
		});
	}

	/** Record for the receiver of a forwarded request: marks the request as served remotely and adds the delay of the way back to its times. */
	#remoteRecord(record: PolicyRecord, oneWayMs: number): PolicyRecord {
		return new Proxy(record, {
			set(target, key, value: number) {
				target.away = true;
				return Reflect.set(target, key, value + oneWayMs);
			},
		});
	}

	#submit(targetId: TargetId, item: Parameters<PolicyEntry['receive']>[0], done: Parameters<PolicyEngine['submit']>[2]): void {
		const target = this.#targets.find(other => other.targetId === targetId)!;
		this.#clock.scheduleAfter(hopMs, () => {
			target.engine.submit(item.req, item.req.kind === 'call' ? 1 : item.outputTokens, event => {
				this.#clock.scheduleAfter(hopMs, () => {
					done(event);
				});
			});
		});
	}

	/** Announces a target with load figures that are `reportLagMs` old on arrival; a target that is down sends nothing. */
	#announce(target: PolicyTarget): void {
		const {engine} = target;
		if (!engine.up) {
			return;
		}

		target.sequence += 1;
		const {sequence} = target;
		const {load, incarnation, capacity} = engine;
		const cache = engine.takeEvents();
		this.#clock.scheduleAfter(reportLagMs, () => {
			if (!engine.up || engine.incarnation !== incarnation) {
				return;
			}

			const entries = this.#entriesIn(target.region);
			entries[this.#targets.indexOf(target) % entries.length]!.table.announce({
				targetId: target.targetId,
				incarnation,
				sequence,
				firm: this.#deployment.name,
				deployment: 'main',
				service: target.service,
				address: target.targetId,
				zone: toId('a'),
				kind: target.service === 'engines' ? 'engine' : 'service',
				state: 'serving',
				models: [],
				capacity,
				load: {...load, ageMs: reportLagMs},
				resumes: false,
				cache,
			}, this.#now());
		});
	}

	#createRegionView(name: string, index: number): RegionView {
		const createdAt = this.#clock.now;
		const entries = this.#entriesIn(index);
		const [first] = entries;
		const clock = this.#clock;
		const {roundTripMs} = this.#deployment;
		return {
			region: toId(name),
			reachable: true,
			get ageMs() {
				return clock.now - createdAt + (roundTripMs / 2);
			},
			revision: 1,
			entries: entries.map(entry => entry.nodeId),
			candidates: [],
			services: first!.table.summaries(this.#now()),
			roundTripMs,
		};
	}

	#createEntries(seed: number, steps: (seed: number) => readonly RoutingStep[] | undefined): PolicyEntry[] {
		const environment = {
			now: () => this.#now(),
			settings: routeSettingsFixture({awayPenaltyMs: this.#deployment.awayPenaltyMs, deadlineMs: this.#deployment.deadlineMs}),
			regions: () => this.#regionViews,
			forward: this.#forward.bind(this),
			submit: this.#submit.bind(this),
		};
		return this.#deployment.regions.flatMap((region, index) => {
			const ids = Array.from({length: region.entries}, (_, nth) => toId<NodeId>(`${region.name}-entry-${nth}`));
			return ids.map((nodeId, nth) => new PolicyEntry({
				nodeId,
				region: toId<Region>(region.name),
				entries: () => ids,
				outbox: this.#outbox(nodeId),
				seed: (seed * 100) + (index * 10) + nth,
				steps: steps((seed * 100) + (index * 10) + nth + 50),
				environment,
			}));
		});
	}

	#outbox(from: NodeId): Outbox {
		return {
			send: (to, message) => {
				this.#clock.scheduleAfter(hopMs, () => {
					if (message.part === 'targets') {
						this.#entries.find(entry => entry.nodeId === to)?.table.handle(from, message.body, this.#now());
					}
				});
			},
			append: () => 0,
			rewrite: () => 0,
			count: () => undefined,
			event: () => undefined,
			log: () => undefined,
		};
	}

	#entriesIn(region: number): readonly PolicyEntry[] {
		const {name} = this.#deployment.regions[region]!;
		return this.#entries.filter(entry => entry.region as string === name);
	}

	#scheduleEvery(periodMs: number, run: () => void): void {
		const runAndReschedule = (): void => {
			run();
			this.#clock.scheduleAfter(periodMs, runAndReschedule);
		};

		runAndReschedule();
	}

	#now(): Millis {
		return this.#clock.now as Millis;
	}
}

