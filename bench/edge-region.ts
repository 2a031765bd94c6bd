import type {Random} from '../src/core/common/random.ts';
import {SeededRandom} from '../src/core/common/seeded-random.ts';
import {controlTiming} from '../src/core/control/control-timing.ts';
import type {TargetLoad} from '../src/core/edge/target-load.ts';
import type {EdgeAction} from '../src/core/edge/edge-action.ts';
import {EdgeCore} from '../src/core/edge/edge-core.ts';
import type {EdgeEvent} from '../src/core/edge/edge-event.ts';
import type {Prompt} from '../src/core/edge/prompt.ts';
import type {Millis} from '../src/core/ids/millis.ts';
import type {AttemptNumber} from '../src/core/ids/attempt-number.ts';
import type {NodeId} from '../src/core/ids/node-id.ts';
import type {RequestId} from '../src/core/ids/request-id.ts';
import type {PromptPartId} from '../src/core/ids/prompt-part-id.ts';
import {toId} from '../src/core/ids/to-id.ts';
import {choosePlacers} from '../src/core/registry/choose-placers.ts';
import type {RegionLoad} from '../src/core/registry/region-load.ts';
import type {RoutesDocument} from '../src/core/routes/routes-document.ts';
import {EventQueue} from '../test/fixtures/event-queue.ts';
import {feedFixture} from '../test/fixtures/feed-fixture.ts';
import {listedTargetFixture} from '../test/fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../test/fixtures/routes-document-fixture.ts';
import {EdgeEngine} from './edge-engine.ts';

type RegionOptions = {
	readonly entries: number;
	readonly engines: number;
	/** Arriving prompt tokens as a share of the engines' total prefill rate. */
	readonly load: number;
	readonly seconds: number;
	readonly seed: number;
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
};

const tickMs = 50;
const hopMs = 1;
const speeds = [0.6, 1, 1.6];
const longShare = 0.2;
/** Unshared tokens of long and short prompts: log-normal with this mean and sigma, capped at `max`. */
const unsharedTokens = {long: {mean: 6610, sigma: 1.05, max: 54_600}, short: {mean: 1800, sigma: 1, max: 6870}};
const objectiveMs = {long: 1226, short: 1513};
const meanPromptTokens = (longShare * 9000) + ((1 - longShare) * 2100);
const enginePrefillTokensPerMs = 56.9;

/** Simulates one region: the real edge core of each entry, simulated engines, and callers that do not retry. */
export class EdgeRegion {
	readonly #options: RegionOptions;
	readonly #random: Random;
	readonly #queue = new EventQueue();
	readonly #entries: EdgeCore[] = [];
	readonly #engines = new Map<string, EdgeEngine>();
	readonly #requests = new Map<RequestId, {prompt: Prompt; long: boolean; arrivedAt: number; firstEventMs?: number}>();
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
		const {load, engines, seconds} = this.#options;
		const meanSpeed = speeds.reduce((sum, speed) => sum + speed, 0) / speeds.length;
		const arrivalsPerMs = load * engines * enginePrefillTokensPerMs * meanSpeed / meanPromptTokens;
		const scheduleArrivals = () => {
			this.#arrive();
			if (this.#queue.now < seconds * 1000) {
				this.#queue.scheduleAfter(-Math.log(1 - this.#random.next()) / arrivalsPerMs, scheduleArrivals);
			}
		};

		scheduleArrivals();
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
		};
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
				targets: [...this.#engines.keys()].map(name => listedTargetFixture(name, {slots: 64})),
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
		this.#requests.set(requestId, {prompt, long, arrivedAt: this.#queue.now});
		this.#submit(this.#entries[Math.floor(this.#random.next() * this.#entries.length)]!, requestId);
	}

	#submit(core: EdgeCore, requestId: RequestId, forwarded = false): void {
		const {prompt, long} = this.#requests.get(requestId)!;
		this.#step(core, {
			type: 'request',
			req: {
				requestId,
				callerKey: toId(requestId),
				host: 'prairie.example',
				path: long ? '/long/1' : '/short/1',
				fingerprint: toId(requestId),
				arrivedAt: this.#queue.now as Millis,
				budgetMs: long ? 12_000 : 3000,
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
				service: toId('desk'), targets: engines, inFlight: 0, waiting: 0, startMs: 0, extraMs: 0,
			}],
		};
	}

	#makePrompt(long: boolean, requestId: RequestId): Prompt {
		const {mean, sigma, max} = long ? unsharedTokens.long : unsharedTokens.short;
		const unshared = Math.round(Math.min(max, mean * Math.exp((sigma * this.#normal()) - (sigma * sigma / 2))));
		const [first, second] = long ? [512, 4870] : [341, 227];
		const [firstPartCount, secondPartCount] = long ? [3, 558] : [16, 3236];
		const parts = [
			{id: toId<PromptPartId>(`${long}-a${Math.floor(this.#random.next() * firstPartCount)}`), tokens: first},
			{id: toId<PromptPartId>(`${long}-b${Math.floor((this.#random.next() ** 1.4) * secondPartCount)}`), tokens: second},
			{id: toId<PromptPartId>(requestId), tokens: unshared},
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
				this.#handleRefusal(action.requestId);
			}
		}
	}

	#handleRefusal(requestId: RequestId): void {
		const relayed = this.#relayedAttempts.get(requestId);
		if (relayed === undefined) {
			this.#refused += 1;
			return;
		}

		this.#relayedAttempts.delete(requestId);
		this.#queue.scheduleAfter(hopMs, () => {
			this.#step(relayed.core, {
				type: 'attempt-head',
				attempt: relayed.attempt,
				head: {
					status: 503, notRun: true, signed: false, unframed: false, eventStream: true, refusedBy: 'entry',
				},
			});
		});
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
		let first = true;
		this.#engines.get(targetId!)!.submit({
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
			},
		});
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
