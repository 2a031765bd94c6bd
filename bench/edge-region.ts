import type {Random} from '../src/core/common/random.ts';
import {SeededRandom} from '../src/core/common/seeded-random.ts';
import {controlTiming} from '../src/core/control/control-timing.ts';
import type {TargetLoad} from '../src/core/edge/target-load.ts';
import type {EdgeAction} from '../src/core/edge/edge-action.ts';
import {EdgeCore} from '../src/core/edge/edge-core.ts';
import type {EdgeRefusal} from '../src/core/edge/edge-refusal.ts';
import type {EdgeEvent} from '../src/core/edge/edge-event.ts';
import type {Prompt} from '../src/core/edge/prompt.ts';
import type {Millis} from '../src/core/ids/millis.ts';
import type {AttemptNumber} from '../src/core/ids/attempt-number.ts';
import type {NodeId} from '../src/core/ids/node-id.ts';
import type {RequestId} from '../src/core/ids/request-id.ts';
import {toId} from '../src/core/ids/to-id.ts';
import {choosePlacers} from '../src/core/registry/choose-placers.ts';
import type {RegionLoad} from '../src/core/registry/region-load.ts';
import type {RoutesDocument} from '../src/core/routes/routes-document.ts';
import {EventQueue} from '../test/fixtures/event-queue.ts';
import {feedFixture} from '../test/fixtures/feed-fixture.ts';
import {listedTargetFixture} from '../test/fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../test/fixtures/routes-document-fixture.ts';
import {EdgeEngine} from './edge-engine.ts';
import {quantile} from './quantile.ts';

type RegionOptions = {
	readonly entries: number;
	readonly engines: number;
	/** Arriving prompt tokens as a share of the engines' total prefill rate. */
	readonly load: number;
	readonly seconds: number;
	readonly seed: number;
	/** Factor of the load by time, in milliseconds. @default constant */
	readonly surge?: (ms: number) => number;
	/** Share of the engines that are lost for a time, in milliseconds. */
	readonly loss?: {readonly share: number; readonly from: number; readonly until: number};
	/** True if a refused caller comes back once, at once or when it was told to. @default never */
	readonly retries?: 'at-once' | 'as-told';
};

type RegionFigures = {
	readonly requests: number;
	readonly refused: number;
	/** Share of the long and of the short prompts whose first event arrived within the objective of their route. */
	readonly longInTime: number;
	readonly shortInTime: number;
	readonly longP50Ms: number;
	/** Share of the prefilled tokens that some engine had computed before. */
	readonly rereadShare: number;
	/** First events within the objective, a second, of requests that arrived between 2 s after the begin and the end. */
	readonly goodput: number;
	/** Median age of final refusals in milliseconds, and the share of failed requests that were held until their deadline. */
	readonly refusalP50Ms: number;
	readonly heldShare: number;
	/** Time from the end of the surge or loss until 95 % of the requests of a second are on time, in milliseconds; 0 without one. */
	readonly recoveryMs: number;
};

const tickMs = 50;
const hopMs = 1;
const speeds = [0.6, 1, 1.6];
const longShare = 0.2;
/** Unshared tokens of long and short prompts: log-normal with this mean and sigma, capped at `max`. */
const unsharedTokens = {long: {mean: 6610, sigma: 1.05, max: 54_600}, short: {mean: 1800, sigma: 1, max: 6870}};
const objectiveMs = {long: 1226, short: 1513};
/** Times for the whole answer. */
const budgetMs = {long: 12_000, short: 3000};
const warmUpMs = 2000;
/** A refusal this long before the deadline, or later, counts as held until it. */
const heldMarginMs = 100;
const meanPromptTokens = (longShare * 9000) + ((1 - longShare) * 2100);
const enginePrefillTokensPerMs = 56.9;

/** Simulates one region: the real edge core of each entry, simulated engines, and callers that do not retry. */
export class EdgeRegion {
	readonly #options: RegionOptions;
	readonly #random: Random;
	readonly #queue = new EventQueue();
	readonly #entries: EdgeCore[] = [];
	readonly #engines = new Map<string, EdgeEngine>();
	readonly #requests = new Map<RequestId, {prompt: Prompt; long: boolean; arrivedAt: number; firstEventMs?: number; refusedMs?: number; tries: number}>();
	/** Attempts at engines: how to abort each, and the engine. */
	readonly #running = new Map<EdgeCore, Map<AttemptNumber, {readonly engine: string; readonly abort: () => void}>>();
	/** For each request forwarded to a placer, the attempt of the entry that waits for it. */
	readonly #relayedAttempts = new Map<RequestId, {core: EdgeCore; attempt: AttemptNumber}>();
	readonly #entriesByRelayAddress = new Map<string, EdgeCore>();
	#refused = 0;

	constructor(options: RegionOptions) {
		this.#options = options;
		this.#random = new SeededRandom(options.seed);
		const computedParts = new Set<string>();
		for (let index = 0; index < options.engines; index++) {
			this.#engines.set(`e${index}`, new EdgeEngine({queue: this.#queue, speed: speeds[index % speeds.length]!, computedParts}));
		}

		for (let index = 0; index < options.entries; index++) {
			this.#entries.push(this.#makeEntry(index));
		}
	}

	run(): RegionFigures {
		const {load, engines, seconds, surge = () => 1} = this.#options;
		const meanSpeed = speeds.reduce((sum, speed) => sum + speed, 0) / speeds.length;
		const arrivalsPerMs = load * engines * enginePrefillTokensPerMs * meanSpeed / meanPromptTokens;
		const peak = Math.max(...Array.from({length: seconds * 10}, (_, tenth) => surge(tenth * 100)));
		const scheduleArrivals = () => {
			if (peak === 1 || this.#random.next() * peak < surge(this.#queue.now)) {
				this.#arrive();
			}

			if (this.#queue.now < seconds * 1000) {
				this.#queue.scheduleAfter(-Math.log(1 - this.#random.next()) / arrivalsPerMs / peak, scheduleArrivals);
			}
		};

		scheduleArrivals();
		this.#scheduleLoss();
		this.#queue.run((seconds * 1000) + 8000);
		const records = [...this.#requests.values()];
		const shareInTime = (long: boolean, limit: number) => {
			const list = records.filter(record => record.long === long);
			return list.filter(({firstEventMs}) => firstEventMs !== undefined && firstEventMs <= limit).length / list.length;
		};

		const longFirstEventMs = records.filter(({long, firstEventMs}) => long && firstEventMs !== undefined).map(({firstEventMs}) => firstEventMs!).sort((a, b) => a - b);
		const prefilledTokens = [...this.#engines.values()].reduce((sum, engine) => sum + engine.prefilledTokens, 0);
		const recomputedTokens = [...this.#engines.values()].reduce((sum, engine) => sum + engine.recomputedTokens, 0);
		return {
			requests: records.length,
			refused: this.#refused,
			longInTime: shareInTime(true, objectiveMs.long),
			shortInTime: shareInTime(false, objectiveMs.short),
			longP50Ms: longFirstEventMs[Math.floor(longFirstEventMs.length / 2)] ?? Number.NaN,
			rereadShare: recomputedTokens / prefilledTokens,
			...this.#roomFigures(),
		};
	}

	/** Figures of the requests that arrived after the first two seconds. */
	#roomFigures(): Pick<RegionFigures, 'goodput' | 'refusalP50Ms' | 'heldShare' | 'recoveryMs'> {
		const {seconds, loss, surge} = this.#options;
		const records = [...this.#requests.values()].filter(({arrivedAt}) => arrivedAt >= warmUpMs);
		const isOnTime = ({long, firstEventMs}: {long: boolean; firstEventMs?: number}) => (firstEventMs ?? Number.POSITIVE_INFINITY) <= (long ? objectiveMs.long : objectiveMs.short);
		const failed = records.filter(({firstEventMs}) => firstEventMs === undefined);
		const refusals = failed.flatMap(({refusedMs}) => refusedMs ?? []);
		const held = failed.filter(({long, refusedMs = Number.POSITIVE_INFINITY}) => refusedMs >= (long ? budgetMs.long : budgetMs.short) - heldMarginMs);
		const times = Array.from({length: seconds * 10}, (_, tenth) => tenth * 100);
		const endsAt = loss?.until ?? (surge === undefined ? undefined : times.findLast(ms => surge(ms) > surge(seconds * 1000)));
		const recoveredAt = times.find(ms => {
			const second = records.filter(({arrivedAt}) => arrivedAt >= ms && arrivedAt < ms + 1000);
			return ms >= (endsAt ?? 0) && second.filter(record => isOnTime(record)).length >= 0.95 * second.length;
		});
		return {
			goodput: records.filter(record => isOnTime(record)).length / (seconds - (warmUpMs / 1000)),
			refusalP50Ms: quantile(refusals, 0.5),
			heldShare: failed.length === 0 ? 0 : held.length / failed.length,
			recoveryMs: endsAt === undefined || recoveredAt === undefined ? 0 : recoveredAt - endsAt,
		};
	}

	/** Breaks the attempts at the engines that are lost, and refuses connections to them for a time. */
	#scheduleLoss(): void {
		const {loss} = this.#options;
		if (loss === undefined) {
			return;
		}

		this.#queue.scheduleAt(loss.from, () => {
			for (const [core, attempts] of this.#running) {
				for (const [attempt, {engine, abort}] of attempts) {
					if (this.#isLost(engine)) {
						abort();
						attempts.delete(attempt);
						this.#step(core, {type: 'attempt-failed', attempt, failure: {reason: 'reset', notSent: false}});
					}
				}
			}
		});
	}

	#isLost(engine: string): boolean {
		const {loss, engines} = this.#options;
		return loss !== undefined && this.#queue.now >= loss.from && this.#queue.now < loss.until && Number(engine.slice(1)) < loss.share * engines;
	}

	#makeEntry(index: number): EdgeCore {
		const document = makeDocument();
		const control = toId<NodeId>('10.1.0.1:7104');
		const core = new EdgeCore({
			self: {
				nodeId: toId(`10.1.1.${index}:7100`), region: toId('regina'), zone: toId('regina-a'), address: toId(`10.1.1.${index}:80`), relayAddress: relayAddress(index), weight: 1,
			},
			seeds: [control],
			repeats: {ratio: 0.2, slack: 100, windowMs: 10_000},
			parseDocument: () => ({document}),
			random: new SeededRandom(index),
		});
		this.#entriesByRelayAddress.set(relayAddress(index), core);
		const step = (event: EdgeEvent) => {
			this.#step(core, event);
		};

		const tick = () => {
			step({type: 'tick'});
			this.#queue.scheduleAfter(tickMs, tick);
		};

		this.#queue.scheduleAfter(this.#random.next() * tickMs, tick);
		step({type: 'tick'});
		let revision = 0;
		const feed = () => {
			revision += 1;
			step(feedFixture(control, {
				to: revision,
				targets: [...this.#engines.keys()].map(name => listedTargetFixture(name, {slots: 64, sequence: this.#isLost(name) ? 1 : revision})),
				state: {document: {version: 1, text: ''}, evacuated: []},
				regions: [this.#regionLoad()],
			}));
			this.#queue.scheduleAfter(controlTiming.statusIntervalMs, feed);
		};

		feed();
		return core;
	}

	#arrive(): void {
		const long = this.#random.next() < longShare;
		const requestId = toId<RequestId>(`r${this.#requests.size}`);
		const prompt = this.#makePrompt(long, requestId);
		this.#requests.set(requestId, {
			prompt, long, arrivedAt: this.#queue.now, tries: 1,
		});
		this.#submit(this.#entries[Math.floor(this.#random.next() * this.#entries.length)]!, requestId);
	}

	#submit(core: EdgeCore, requestId: RequestId, forwarded = false): void {
		const {prompt, long, arrivedAt} = this.#requests.get(requestId)!;
		this.#step(core, {
			type: 'request',
			req: {
				requestId,
				callerKey: requestId,
				host: 'prairie.example',
				path: long ? '/long/1' : '/short/1',
				fingerprint: toId(requestId),
				arrivedAt: this.#queue.now as Millis,
				budgetMs: (long ? budgetMs.long : budgetMs.short) - (this.#queue.now - arrivedAt),
				prompt,
				forwarded: forwarded ? {region: toId('regina'), documentVersion: 1} : undefined,
			},
		});
	}

	/** Load of the region as a control node reports it; all entries have the same weight when the placers are chosen. */
	#regionLoad(): RegionLoad {
		const {entries, engines} = this.#options;
		const placers = choosePlacers(Array.from({length: entries}, (_, index) => ({
			nodeId: toId(String(index).padStart(3, '0')), region: toId('regina'), zone: toId('regina-a'), address: toId(''), relayAddress: relayAddress(index), state: 'ready', weight: 1, loads: [],
		})));
		return {
			region: toId('regina'),
			entries,
			hasPlacers: placers.length > 0,
			relayAddresses: placers.map(placer => placer.relayAddress),
			loads: [{
				service: toId('desk'), targets: engines, startMs: 0, extraMs: 0, ...this.#requestsInRegion(),
			}],
		};
	}

	/** Requests at engines, and those that wait at entries, as the entries would report them. */
	#requestsInRegion(): {inFlight: number; waiting: number} {
		let inFlight = 0;
		for (const attempts of this.#running.values()) {
			inFlight += attempts.size;
		}

		const waiting = this.#entries.flatMap(core => core.status(this.#queue.now as Millis).loads).reduce((sum, load) => sum + load.waiting, 0);
		return {inFlight, waiting};
	}

	#makePrompt(long: boolean, requestId: RequestId): Prompt {
		const {mean, sigma, max} = long ? unsharedTokens.long : unsharedTokens.short;
		const unshared = Math.round(Math.min(max, mean * Math.exp((sigma * this.#normal()) - (sigma * sigma / 2))));
		const [first, second] = long ? [512, 4870] : [341, 227];
		const [firstPartCount, secondPartCount] = long ? [3, 558] : [16, 3236];
		const parts = [
			{id: `${long}-a${Math.floor(this.#random.next() * firstPartCount)}`, tokens: first},
			{id: `${long}-b${Math.floor((this.#random.next() ** 1.4) * secondPartCount)}`, tokens: second},
			{id: requestId, tokens: unshared},
		];
		return {parts, promptTokens: first + second + unshared, outputTokens: long ? 380 : 23};
	}

	#normal(): number {
		return Math.sqrt(-2 * Math.log(1 - this.#random.next())) * Math.cos(2 * Math.PI * this.#random.next());
	}

	#step(core: EdgeCore, event: EdgeEvent): void {
		for (const action of core.step(event, this.#queue.now as Millis)) {
			if (action.type === 'start') {
				this.#queue.scheduleAfter(hopMs, () => {
					this.#start(core, action);
				});
			} else if (action.type === 'refuse') {
				this.#handleRefusal(action.requestId, action.refusal);
			} else {
				this.#handleOther(core, action);
			}
		}
	}

	#handleOther(core: EdgeCore, action: EdgeAction): void {
		if (action.type === 'cancel') {
			this.#abort(core, action.attempt);
		} else if (action.type === 'probe') {
			this.#queue.scheduleAfter(hopMs, () => {
				this.#step(core, {type: 'probe-result', targetId: action.targetId, reachable: !this.#isLost(action.targetId)});
			});
		}
	}

	#abort(core: EdgeCore, attempt: AttemptNumber): void {
		this.#running.get(core)?.get(attempt)?.abort();
		this.#running.get(core)?.delete(attempt);
	}

	#handleRefusal(requestId: RequestId, refusal: EdgeRefusal): void {
		const relayed = this.#relayedAttempts.get(requestId);
		if (relayed === undefined) {
			this.#returnOrFail(requestId, refusal);
			return;
		}

		this.#relayedAttempts.delete(requestId);
		this.#queue.scheduleAfter(hopMs, () => {
			this.#step(relayed.core, {
				type: 'attempt-head',
				attempt: relayed.attempt,
				head: {
					status: 503, notRun: refusal.ran === 'no', retryAfterMs: refusal.retryAfterMs, signed: false, unframed: false, eventStream: true, refusedBy: 'entry',
				},
			});
		});
	}

	/** The caller of a request that was refused comes back, if it may, or fails. */
	#returnOrFail(requestId: RequestId, {ran, retryAfterMs = 0}: EdgeRefusal): void {
		const {retries} = this.#options;
		const record = this.#requests.get(requestId)!;
		const leftMs = record.arrivedAt + (record.long ? budgetMs.long : budgetMs.short) - this.#queue.now;
		if (retries !== undefined && ran === 'no' && record.tries === 1 && leftMs > 0) {
			record.tries = 2;
			this.#queue.scheduleAfter(retries === 'at-once' ? hopMs : Math.min(retryAfterMs, leftMs / 3), () => {
				this.#submit(this.#entries[Math.floor(this.#random.next() * this.#entries.length)]!, requestId);
			});
			return;
		}

		this.#refused += 1;
		record.refusedMs = this.#queue.now - record.arrivedAt;
	}

	#start(core: EdgeCore, {attempt, requestId, targetId, address, urgency}: EdgeAction & {type: 'start'}): void {
		const placer = this.#entriesByRelayAddress.get(address);
		if (placer !== undefined) {
			this.#relayedAttempts.set(requestId, {core, attempt});
			this.#submit(placer, requestId, true);
			return;
		}

		const record = this.#requests.get(requestId)!;
		const relayed = this.#relayedAttempts.get(requestId);
		if (this.#isLost(targetId!)) {
			this.#step(core, {type: 'attempt-failed', attempt, failure: {reason: 'connect', notSent: true}});
			return;
		}

		let first = true;
		const attempts = this.#running.get(core) ?? new Map<AttemptNumber, {engine: string; abort: () => void}>();
		this.#running.set(core, attempts);
		const abort = this.#engines.get(targetId!)!.submit({
			prompt: record.prompt,
			urgency,
			onEvent: (load, last) => {
				this.#queue.scheduleAfter(hopMs, () => {
					this.#deliverEvent(core, attempt, {load, first, last});
					if (relayed !== undefined) {
						this.#deliverEvent(relayed.core, relayed.attempt, {load, first, last});
					}

					record.firstEventMs ??= this.#queue.now - record.arrivedAt;
					first = false;
				});
				if (last) {
					attempts.delete(attempt);
				}
			},
		});
		attempts.set(attempt, {engine: targetId!, abort});
	}

	#deliverEvent(core: EdgeCore, attempt: AttemptNumber, {load, first, last}: {load: TargetLoad; first: boolean; last: boolean}): void {
		if (first) {
			this.#step(core, {
				type: 'attempt-head', attempt, head: {
					status: 200, notRun: false, signed: true, unframed: false, eventStream: true, load,
				},
			});
		}

		this.#step(core, {type: 'attempt-events', attempt, count: 1});
		if (last) {
			this.#step(core, {type: 'attempt-end', attempt, truncated: false});
		}
	}
}

function relayAddress(index: number): string {
	return `10.1.1.${index}:7101`;
}

function makeDocument(): RoutesDocument {
	const {routes: [route], services: [service], ...rest} = routesDocumentFixture({engine: true, route: {kind: 'stream', resumable: true}});
	return {
		...rest,
		routes: [
			{
				...route!, name: 'long', prefix: '/long/', priority: 1, objectiveMs: objectiveMs.long, timeoutMs: 12_000,
			},
			{
				...route!, name: 'short', prefix: '/short/', priority: 0, objectiveMs: objectiveMs.short, timeoutMs: 3000,
			},
		],
		services: [{...service!, engine: {slots: 64, cacheTokens: 467_114, tokensPerEvent: 9}}],
	};
}
