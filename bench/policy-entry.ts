import {FairAdmissionQueue} from '../src/core/admission/fair-admission-queue.ts';
import type {Outbox} from '../src/core/common/outbox.ts';
import {SeededRandom} from '../src/core/common/seeded-random.ts';
import type {Millis} from '../src/core/ids/millis.ts';
import type {NodeId} from '../src/core/ids/node-id.ts';
import type {Region} from '../src/core/ids/region.ts';
import type {RequestId} from '../src/core/ids/request-id.ts';
import type {TargetId} from '../src/core/ids/target-id.ts';
import type {RegionView} from '../src/core/membership/region-view.ts';
import {PipelineRouter} from '../src/core/routing/pipeline-router.ts';
import type {RouteDecision} from '../src/core/routing/route-decision.ts';
import type {RoutingStep} from '../src/core/routing/routing-step.ts';
import type {RequestInfo} from '../src/core/settings/request-info.ts';
import type {RouteSettings} from '../src/core/settings/route-settings.ts';
import type {AttemptOutcome} from '../src/core/targets/attempt-outcome.ts';
import {RegionalTargetTable} from '../src/core/targets/regional-target-table.ts';
import type {PolicyRecord} from './policy-record.ts';

/** Waiting requests that are passed over at most in one go. */
const mostPassed = 16;

/** Targets and regions that a request tried. */
type Tried = {targets: Set<TargetId>; regions: Set<Region>};

/** A request inside an entry. */
type EntryItem = {
	readonly req: RequestInfo;
	readonly outputTokens: number;
	readonly record: PolicyRecord;
	readonly tried: Tried;
	/** Set at the receiver of a forward: gives a refusal back to the sender. */
	readonly refused?: (reason: string) => void;
};

/** What an entry of the bench needs of the world around it. */
type EntryWorld = {
	readonly settings: RouteSettings;
	now(): Millis;
	regions(): readonly RegionView[];
	forward(item: EntryItem, from: NodeId, region: Region): void;
	submit(targetId: TargetId, item: EntryItem, done: (event: 'first' | 'whole' | 'failed') => void): void;
};

/** One entry: the core's own table, router and admission, without sockets. */
export class PolicyEntry {
	readonly nodeId: NodeId;
	readonly region: Region;
	readonly table: RegionalTargetTable;
	readonly #router: PipelineRouter;
	readonly #admission: FairAdmissionQueue;
	readonly #world: EntryWorld;
	readonly #items = new Map<string, EntryItem>();
	#sentAway: Array<{at: number; bytes: number}> = [];

	constructor(options: {nodeId: NodeId; region: Region; entries: () => readonly NodeId[]; outbox: Outbox; seed: number; steps?: readonly RoutingStep[]; world: EntryWorld}) {
		const random = new SeededRandom(options.seed);
		this.nodeId = options.nodeId;
		this.region = options.region;
		this.table = new RegionalTargetTable({
			self: options.nodeId, entries: options.entries, outbox: options.outbox, random,
		});
		this.#router = new PipelineRouter({random, steps: options.steps});
		this.#admission = new FairAdmissionQueue({random});
		this.#world = options.world;
	}

	receive(item: EntryItem): void {
		const waiting = this.#admission.depth(serviceKey(item.req));
		const decision = this.#choose(item, waiting);
		if (decision.type === 'target' && waiting > 0) {
			this.#enqueue(item, decision.predictedMs);
		} else {
			this.#carryOut(item, decision);
		}
	}

	tick(): void {
		this.table.tick(this.#world.now());
		for (const {req, refusal} of this.#admission.expire(this.#world.now())) {
			this.#refuse(this.#items.get(req.requestId)!, refusal.result);
		}

		for (const service of this.#admission.waitingServices()) {
			this.#pump(service);
		}
	}

	#enqueue(item: EntryItem, predictedMs: number): void {
		const outcome = this.#admission.enqueue(item.req, this.#world.settings, predictedMs, this.#world.now());
		if (outcome.type === 'refused') {
			this.#refuse(item, outcome.refusal.result);
			return;
		}

		this.#items.set(item.req.requestId, item);
		this.#pump(serviceKey(item.req));
	}

	/** Places waiting requests; passes over some that have to wait on. */
	#pump(service: string): void {
		const passed = new Set<RequestId>();
		while (passed.size < mostPassed) {
			const req = this.#admission.peek(service, this.#world.now(), passed);
			if (!req) {
				return;
			}

			const item = this.#items.get(req.requestId)!;
			const decision = this.#choose(item, this.#admission.depth(service) - 1);
			if (decision.type === 'wait') {
				passed.add(req.requestId);
				continue;
			}

			this.#admission.take(req.requestId);
			this.#items.delete(req.requestId);
			this.#carryOut(item, decision);
		}
	}

	#choose(item: EntryItem, waiting: number): RouteDecision {
		const now = this.#world.now();
		const {req, tried} = item;
		this.#sentAway = this.#sentAway.filter(({at}) => now - at < 1000);
		let awayBytesLastSecond = 0;
		for (const {bytes} of this.#sentAway) {
			awayBytesLastSecond += bytes;
		}

		return this.#router.choose({
			req,
			settings: this.#world.settings,
			now,
			region: this.region,
			targets: this.table.serving(req.path, undefined, now),
			regions: this.#world.regions().filter(view => view.region !== this.region),
			waiting,
			tried,
			alone: false,
			remoteBytesLastSecond: awayBytesLastSecond,
		});
	}

	#carryOut(item: EntryItem, decision: RouteDecision): void {
		switch (decision.type) {
			case 'refuse': {
				this.#refuse(item, decision.refusal.result);

				break;
			}

			case 'away': {
				this.#sentAway.push({at: this.#world.now(), bytes: item.req.bodyBytes});
				item.tried.regions.add(decision.region);
				this.#world.forward(item, this.nodeId, decision.region);

				break;
			}

			case 'wait': {
				this.#enqueue(item, decision.predictedMs);
				break;
			}

			case 'target': {
				this.#start(item, decision.targetId, decision.cachedTokens);

				break;
			}
		}
	}

	#start(item: EntryItem, targetId: TargetId, cachedTokens: number): void {
		const {req, record} = item;
		const startedAt = this.#world.now();
		this.#admission.recordDispatch(req, startedAt);
		this.table.recordStart(targetId, req, startedAt);
		item.tried.targets.add(targetId);
		let firstByteMs: number | undefined;
		this.#world.submit(targetId, item, event => {
			const now = this.#world.now();
			if (event === 'first') {
				firstByteMs = now - startedAt;
				record.firstAt ??= now;
				return;
			}

			this.table.recordOutcome(targetId, {
				result: event === 'whole' ? 'whole' : 'failed',
				promptTokens: req.promptTokens,
				cachedTokens,
				outputTokens: event === 'whole' ? item.outputTokens : 0,
				predictedOutputTokens: req.outputTokens,
				firstByteMs,
				totalMs: now - startedAt,
			} satisfies AttemptOutcome, now);
			if (event === 'whole') {
				record.wholeAt = now;
			} else {
				this.receive(item);
			}

			this.#pump(serviceKey(req));
		});
	}

	#refuse(item: EntryItem, reason: string): void {
		this.#items.delete(item.req.requestId);
		if (item.refused) {
			item.refused(reason);
		} else {
			item.record.refusal = reason;
		}
	}
}

function serviceKey(req: RequestInfo): string {
	return `${req.path.firm}/${req.path.deployment}/${req.path.service}`;
}
