import type {Random} from '../src/core/common/random.ts';
import {SeededRandom} from '../src/core/common/seeded-random.ts';
import type {Millis} from '../src/core/ids/millis.ts';
import {toId} from '../src/core/ids/to-id.ts';
import type {RequestInfo} from '../src/core/settings/request-info.ts';
import type {PolicyDeployment} from './policy-deployment.ts';

/** Organisations of one region. */
const organisationsPerRegion = 30;

const blockTokens = 64;

/** Amplitude of a region's daily peak relative to its mean rate. */
const peakAmplitude = 0.3;

/** Active briefs in each region. */
const briefsPerRegion = 60;

/** Share of the requests that replace an active brief by a new one. */
const newBriefShare = 0.08;

/** A text history that several requests of one organisation share as a prompt prefix. */
type Brief = {readonly id: number; readonly organisation: number; readonly blocks: number};

/** One request of the load, with its actual number of output tokens, which only the engine knows. */
type GeneratedRequest = {
	readonly at: number;
	readonly region: number;
	readonly req: RequestInfo;
	readonly outputTokens: number;
};

/** Generates the requests of one deployment: prompt prefixes shared by firm, organisation and brief, daily peaks shifted between regions. */
export class PolicyLoad {
	readonly #deployment: PolicyDeployment;
	readonly #random: Random;
	readonly #briefs: Brief[][];
	#count = 0;

	constructor(deployment: PolicyDeployment, seed: number) {
		this.#deployment = deployment;
		this.#random = new SeededRandom(seed);
		this.#briefs = deployment.regions.map(() => Array.from({length: briefsPerRegion}, () => this.#newBrief()));
	}

	/** Draws all requests of a run in order of time; `rates` holds each region's mean rate of completions, `callRate` the rate of calls in every region, in requests per second. */
	draw(rates: readonly number[], callRate: number, durationMs: number): readonly GeneratedRequest[] {
		const items: GeneratedRequest[] = [];
		for (const [region, rate] of rates.entries()) {
			items.push(
				...this.#arrivals(rate, region, durationMs, at => this.drawCompletion(region, at)),
				...this.#arrivals(callRate, region, durationMs, at => this.#drawCall(region, at)),
			);
		}

		return items.toSorted((a, b) => a.at - b.at);
	}

	/** Draws a completion request to the engines. */
	drawCompletion(region: number, at: number): GeneratedRequest {
		const {shortTokens, longTokens, longShare} = this.#deployment;
		const brief = this.#pickBrief(region);
		const {organisation} = brief;
		const mean = this.#random.next() < longShare ? longTokens : shortTokens;
		const outputTokens = Math.max(8, Math.round(mean * this.#randomFactor()));
		const prefixBlocks = this.#prefixBlocks(region, brief);
		const {name} = this.#deployment;
		return this.#createRequest({region, at, organisation}, {
			path: {
				firm: name, deployment: 'main', service: 'engines', route: 'drafts',
			},
			kind: 'completion',
			promptTokens: prefixBlocks.length * blockTokens,
			prefixBlocks,
			outputTokens: Math.max(8, Math.round(outputTokens * this.#randomFactor())),
		}, outputTokens);
	}

	#drawCall(region: number, at: number): GeneratedRequest {
		const organisation = Math.floor(organisationsPerRegion * this.#random.next());
		return this.#createRequest({region, at, organisation}, {
			path: {
				firm: this.#deployment.name, deployment: 'main', service: 'desk', route: 'status',
			},
			kind: 'call',
			promptTokens: 0,
			prefixBlocks: [],
			outputTokens: 0,
		}, 0);
	}

	#createRequest(
		from: {region: number; at: number; organisation: number},
		parts: Pick<RequestInfo, 'path' | 'kind' | 'promptTokens' | 'prefixBlocks' | 'outputTokens'>,
		outputTokens: number,
	): GeneratedRequest {
		this.#count += 1;
		const chance = this.#random.next();
		const priority = chance < 0.2 ? 2 : (chance < 0.8 ? 5 : 8);
		const req: RequestInfo = {
			...parts,
			requestId: toId(`r${this.#count}`),
			organisation: toId(`o${from.region}-${from.organisation}`),
			callerKey: `key-of-o${from.region}-${from.organisation}`,
			organisationWeight: 1,
			streamed: true,
			homeRegion: toId(this.#deployment.regions[from.region]!.name),
			prefixBlockTokens: blockTokens,
			promptParts: [],
			fingerprint: `f${this.#count}`,
			priority,
			arrivedAt: from.at as Millis,
			deadlineAt: from.at + this.#deployment.deadlineMs as Millis,
			bodyBytes: this.#deployment.bodyBytes,
		};
		return {
			at: from.at, region: from.region, req, outputTokens,
		};
	}

	#pickBrief(region: number): Brief {
		const briefs = this.#briefs[region]!;
		const index = Math.floor(this.#random.next() * briefs.length);
		if (this.#random.next() < newBriefShare) {
			briefs[index] = this.#newBrief();
		}

		return briefs[index]!;
	}

	#newBrief(): Brief {
		this.#count += 1;
		return {
			id: this.#count,
			organisation: Math.floor(organisationsPerRegion * (this.#random.next() ** 2)),
			blocks: 4 + Math.floor(this.#random.next() * (this.#deployment.maxBriefBlocks - 3)),
		};
	}

	/** One block of the firm, two to five of the organisation, those of the brief, and one or two of the request itself. */
	#prefixBlocks(region: number, brief: Brief): string[] {
		const organisation = `o${region}-${brief.organisation}`;
		const ownParts = this.#random.next() < 0.5 ? ['own'] : ['own', 'own-too'];
		return [
			'firm',
			...Array.from({length: 2 + (brief.organisation % 4)}, (_, index) => `${organisation}-${index}`),
			...Array.from({length: brief.blocks}, (_, index) => `${organisation}-b${brief.id}-${index}`),
			...ownParts.map(part => `r${this.#count}-${part}`),
		];
	}

	#arrivals(rate: number, region: number, durationMs: number, draw: (at: number) => GeneratedRequest): GeneratedRequest[] {
		const items: GeneratedRequest[] = [];
		const peakRate = rate * (1 + peakAmplitude);
		let at = 0;
		while (at < durationMs) {
			at += -Math.log(1 - this.#random.next()) * 1000 / peakRate;
			const phase = 2 * Math.PI * ((at / durationMs) + (region / this.#deployment.regions.length));
			if (this.#random.next() * (1 + peakAmplitude) < 1 + (peakAmplitude * Math.sin(phase))) {
				items.push(draw(at));
			}
		}

		return items;
	}

	/** Random factor with median 1, between about 0.5 and 2. */
	#randomFactor(): number {
		return Math.exp((this.#random.next() + this.#random.next() - 1) * 0.7);
	}
}
