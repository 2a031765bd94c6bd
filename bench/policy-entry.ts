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

/** Maximum number of waiting requests that one dispatch skips. */
const maxSkipped = 16;

/** Targets and regions that a request has already tried. */
type Tried = {targets: Set<TargetId>; regions: Set<Region>};

/** A request that an entry is handling. */
type EntryRequest = {
	readonly req: RequestInfo;
	readonly outputTokens: number;
	readonly record: PolicyRecord;
	readonly tried: Tried;
	/** Set at the receiver of a forwarded request: returns a refusal to the sender. */
	readonly refused?: (reason: string) => void;
};

/** What a simulated entry needs from the simulation. */
type EntryEnvironment = {
	readonly settings: RouteSettings;
	now(): Millis;
	regions(): readonly RegionView[];
	forward(item: EntryRequest, from: NodeId, region: Region): void;
	submit(targetId: TargetId, item: EntryRequest, done: (event: 'first' | 'whole' | 'failed') => void): void;
};

/** One entry: the product's target table, router and admission queue, without sockets. */
export class PolicyEntry {
	readonly nodeId: NodeId;
	readonly region: Region;
	readonly table: RegionalTargetTable;
	readonly #router: PipelineRouter;
	readonly #admission: FairAdmissionQueue;
	readonly #environment: EntryEnvironment;
	readonly #items = new Map<string, EntryRequest>();
	#remoteSends: Array<{at: number; bytes: number}> = [];

	constructor(options: {nodeId: NodeId; region: Region; entries: () => readonly NodeId[]; outbox: Outbox; seed: number; steps?: readonly RoutingStep[]; environment: EntryEnvironment}) {
		const random = new SeededRandom(options.seed);
		this.nodeId = options.nodeId;
		this.region = options.region;
		this.table = new RegionalTargetTable({
			self: options.nodeId, entries: options.entries, outbox: options.outbox, random, emit: () => undefined,
		});
		this.#router = new PipelineRouter({random, steps: options.steps});
		this.#admission = new FairAdmissionQueue({random});
		this.#environment = options.environment;
	}

	receive(item: EntryRequest): void {
		const waiting = this.#admission.depth(serviceKey(item.req));
		const decision = this.#choose(item, waiting);
		if (decision.type === 'target' && waiting > 0) {
			this.#enqueue(item, decision.predictedMs);
		} else {
			this.#execute(item, decision);
		}
	}

	tick(): void {
		this.table.tick(this.#environment.now());
		for (const {req, refusal} of this.#admission.expire(this.#environment.now())) {
			this.#refuse(this.#items.get(req.requestId)!, refusal.result);
		}

		for (const service of this.#admission.waitingServices()) {
			this.#dispatchWaiting(service);
		}
	}

	#enqueue(item: EntryRequest, predictedMs: number): void {
		const outcome = this.#admission.enqueue(item.req, this.#environment.settings, predictedMs, this.#environment.now());
		if (outcome.type === 'refused') {
			this.#refuse(item, outcome.refusal.result);
			return;
		}

		this.#items.set(item.req.requestId, item);
		this.#dispatchWaiting(serviceKey(item.req));
	}

	/** Dispatches waiting requests of a service; skips up to `maxSkipped` of them that must keep waiting. */
	#dispatchWaiting(service: string): void {
		const skipped = new Set<RequestId>();
		while (skipped.size < maxSkipped) {
			const req = this.#admission.peek(service, this.#environment.now(), skipped);
			if (!req) {
				return;
			}

			const item = this.#items.get(req.requestId)!;
			const decision = this.#choose(item, this.#admission.depth(service) - 1);
			if (decision.type === 'wait') {
				skipped.add(req.requestId);
				continue;
			}

			this.#admission.take(req.requestId);
			this.#items.delete(req.requestId);
			this.#execute(item, decision);
		}
	}

	#choose(item: EntryRequest, waiting: number): RouteDecision {
		const now = this.#environment.now();
		const {req, tried} = item;
		this.#remoteSends = this.#remoteSends.filter(({at}) => now - at < 1000);
		let remoteBytesLastSecond = 0;
		for (const {bytes} of this.#remoteSends) {
			remoteBytesLastSecond += bytes;
		}

		return this.#router.choose({
			req,
			settings: this.#environment.settings,
			now,
			region: this.region,
			targets: this.table.serving(req.path, undefined, now),
			regions: this.#environment.regions().filter(view => view.region !== this.region),
			waiting,
			tried,
			alone: false,
			remoteBytesLastSecond,
		});
	}

	#execute(item: EntryRequest, decision: RouteDecision): void {
		switch (decision.type) {
			case 'refuse': {
				this.#refuse(item, decision.refusal.result);

				break;
			}

			case 'away': {
				this.#remoteSends.push({at: this.#environment.now(), bytes: item.req.bodyBytes});
				item.tried.regions.add(decision.region);
				this.#environment.forward(item, this.nodeId, decision.region);

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

	#start(item: EntryRequest, targetId: TargetId, cachedTokens: number): void {
		const {req, record} = item;
		const startedAt = this.#environment.now();
		this.#admission.recordDispatch(req, startedAt);
		this.table.recordStart(targetId, req, startedAt);
		item.tried.targets.add(targetId);
		let firstByteMs: number | undefined;
		this.#environment.submit(targetId, item, event => {
			const now = this.#environment.now();
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

			this.#dispatchWaiting(serviceKey(req));
		});
	}

	#refuse(item: EntryRequest, reason: string): void {
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
