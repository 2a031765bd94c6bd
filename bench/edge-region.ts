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
	/** Prompt tokens that arrive, as a share of what the engines read. */
	readonly load: number;
	readonly seconds: number;
	readonly seed: number;
};

type RegionFigures = {
	readonly requests: number;
	readonly refused: number;
	/** Share of the long prompts, and of the short ones, whose first event came within their objective. */
	readonly longInTime: number;
	readonly shortInTime: number;
	readonly longP50Ms: number;
	readonly rereadShare: number;
};

const tickMs = 50;
const hopMs = 1;
const speeds = [0.6, 1, 1.6];
const longShare = 0.2;
/** Mean tokens of a long and a short prompt that are not shared, and the spread of their logarithm. */
const unsharedTokens = {long: {mean: 6610, sigma: 1.05, most: 54_600}, short: {mean: 1800, sigma: 1, most: 6870}};
const objectiveMs = {long: 1226, short: 1513};
const meanPromptTokens = (longShare * 9000) + ((1 - longShare) * 2100);
const enginePrefillTokensPerMs = 56.9;

/** One region of a grown deployment: real cores of its entries on simulated engines, callers without retries. */
export class EdgeRegion {
	readonly #options: RegionOptions;
	readonly #random: Random;
	readonly #queue = new EventQueue();
	readonly #entries: EdgeCore[] = [];
	readonly #engines = new Map<string, EdgeEngine>();
	readonly #requests = new Map<RequestId, {prompt: Prompt; long: boolean; at: number; firstMs?: number}>();
	/** Requests that an entry passed to a placer: the attempt of the entry that waits for them. */
	readonly #relayedAttempts = new Map<RequestId, {core: EdgeCore; attempt: AttemptNumber}>();
	readonly #entriesByRelayAddress = new Map<string, EdgeCore>();
	#refused = 0;

	constructor(options: RegionOptions) {
		this.#options = options;
		this.#random = new SeededRandom(options.seed);
		const everRead = new Set<string>();
		for (let index = 0; index < options.engines; index++) {
			this.#engines.set(`e${index}`, new EdgeEngine({queue: this.#queue, speed: speeds[index % speeds.length]!, everRead}));
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
			return list.filter(({firstMs}) => firstMs !== undefined && firstMs <= limit).length / list.length;
		};

		const longFirstEventMs = records.filter(({long, firstMs}) => long && firstMs !== undefined).map(({firstMs}) => firstMs!).sort((a, b) => a - b);
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
		this.#requests.set(requestId, {prompt, long, at: this.#queue.now});
		this.#submit(this.#entries[Math.floor(this.#random.next() * this.#entries.length)]!, requestId);
	}

	#submit(core: EdgeCore, requestId: RequestId, forwarded = false): void {
		const {prompt, long} = this.#requests.get(requestId)!;
		this.#step(core, {
			type: 'request',
			req: {
				requestId,
				callerKey: requestId,
				host: 'prairie.example',
				path: long ? '/long/1' : '/short/1',
				arrivedAt: this.#queue.now as Millis,
				budgetMs: long ? 12_000 : 3000,
				prompt,
				forwarded: forwarded ? {region: toId('regina'), documentVersion: 1} : undefined,
			},
		});
	}

	/** What control tells of the region, with as many placers as a region of equal VMs has. */
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
		const {mean, sigma, most} = long ? unsharedTokens.long : unsharedTokens.short;
		const unshared = Math.round(Math.min(most, mean * Math.exp((sigma * this.#normal()) - (sigma * sigma / 2))));
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
					status: 503, notRun: true, signed: false, refusedBy: 'entry',
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

					record.firstMs ??= this.#queue.now - record.at;
					first = false;
				});
			},
		});
	}

	#deliverEvent(core: EdgeCore, attempt: AttemptNumber, {load, first, last}: {load: TargetLoad; first: boolean; last: boolean}): void {
		if (first) {
			this.#step(core, {
				type: 'attempt-head', attempt, head: {
					status: 200, notRun: false, signed: true, load,
				},
			});
		}

		this.#step(core, {type: 'attempt-events', attempt, count: 1});
		if (last) {
			this.#step(core, {type: 'attempt-end', attempt});
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
