import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../../src/core/common/random.ts';
import {sample} from '../../src/core/membership/sample.ts';
import {RefusalManners} from './refusal-manners.ts';
import type {SoakDeployment} from './soak-deployment.ts';
import {soakStreams} from './soak-streams.ts';
import {StreamManners} from './stream-manners.ts';

/** Number of entries that a series stops, and time between two stops, in milliseconds; less than a stop takes, so that they overlap. */
const stopped = {least: 2, most: 5};
const stopGapMs = {least: 200, most: 2500};
const restartMs = {least: 0, most: 1000};
/** Time after the first SIGTERM within which targets begin to leave, time for which they report that they drain, and further time in which they go on after that, in milliseconds. */
const releaseWithinMs = 3000;
const drainMs = {least: 1500, most: 3000};
const lingerMs = {least: 1000, most: 5000};
const releases = {least: 1, most: 3};
/** Time for which targets of streams are full, and time between two such spells, in milliseconds. */
const fullMs = {least: 200, most: 1500};
const betweenFullMs = {least: 200, most: 1200};
/** Share of a region's targets that a spell takes as a whole, and not only one of them. */
const wholeRegionShare = 0.5;
/** Pauses of a stream, on average, and the length of a pause relative to the stall timeout. */
const pausesPerStream = 1;
const pauseFactor = {least: 0.5, most: 4};
const eventEveryMs = 40;
/** Share of the orders that targets refuse. */
const refusedShare = 0.15;
const pollMs = 50;

/** What happens without any fault: entries that are stopped, targets that leave, are full at times, or pause in the middle of a stream. */
export class PlannedWork {
	/** SIGTERMs sent, by `performance.now()`. */
	readonly stops: Array<{readonly entry: string; readonly at: number}> = [];
	/** Steps of the plan, with their times. */
	readonly steps: Array<{readonly name: string; readonly at: number}> = [];
	readonly #deployment: SoakDeployment;
	readonly #random: Random;
	#filling = true;

	constructor(deployment: SoakDeployment, random: Random) {
		this.#deployment = deployment;
		this.#random = random;
	}

	/** Lets the targets of streams write long ones, with pauses, and the others refuse requests. */
	prepareTargets(random: Random, refusedRandom: Random): void {
		const refusals = new RefusalManners(refusedRandom);
		refusals.share = refusedShare;
		const manners = new StreamManners({
			random, eventCount: soakStreams.eventCount, pausesPerStream, pauseMs: path => this.#between(pauseFactor) * soakStreams.stallMs(path),
		});
		for (const {engine, service} of this.#deployment.engines) {
			engine.workMs = eventEveryMs;
			if (service === 'writers') {
				engine.eventCount = soakStreams.eventCount;
				manners.apply(engine);
			} else {
				refusals.apply(engine);
			}
		}
	}

	/** Lets targets of streams be full at times, one or all of a region, until `stopFilling`. */
	async fillTargets(): Promise<void> {
		while (this.#filling) {
			const region = this.#pick(this.#deployment.regions);
			const local = this.#deployment.engines.filter(target => target.service === 'writers' && target.region === region && target.state === 'ready');
			const filled = this.#random.next() < wholeRegionShare || local.length === 0 ? local : [this.#pick(local)];
			for (const {engine} of filled) {
				engine.manner = 'full';
			}

			await sleep(this.#between(fullMs)); // eslint-disable-line no-await-in-loop
			for (const {engine} of filled) {
				engine.manner = 'well';
			}

			await sleep(this.#between(betweenFullMs)); // eslint-disable-line no-await-in-loop
		}
	}

	stopFilling(): void {
		this.#filling = false;
	}

	/** Stops entries one after another, so that their stops overlap, and starts each again once it has ended; targets are replaced at the same time. */
	async playRound(): Promise<void> {
		const {entries} = this.#deployment;
		const leaving = sample(entries, this.#count(stopped), this.#random);
		const running = Array.from({length: this.#count(releases)}, async () => this.#release());
		for (const node of leaving) {
			running.push(this.#restart(node));
			await sleep(this.#between(stopGapMs)); // eslint-disable-line no-await-in-loop
		}

		await Promise.all(running);
	}

	async #restart(node: SoakDeployment['entries'][number]): Promise<void> {
		const pauseMs = this.#between(restartMs);
		this.stops.push({entry: node.name, at: performance.now()});
		this.#note(`SIGTERM ${node.name}`);
		await node.end('SIGTERM');
		this.#note(`${node.name} has ended`);
		await sleep(pauseMs);
		node.start();
	}

	/** Replaces a target: the new one starts, the old one reports that it drains, reports that it leaves, and ends. */
	async #release(): Promise<void> {
		const delayMs = this.#random.next() * releaseWithinMs;
		const [target] = sample(this.#deployment.engines.filter(({service, state}) => service === 'writers' && state === 'ready'), 1, this.#random);
		const [drainingMs, lingeringMs] = [this.#between(drainMs), this.#between(lingerMs)];
		const version = this.#random.next() < 0.5 ? target!.engine.softwareVersion : `${target!.engine.softwareVersion}+`;
		await sleep(delayMs);
		if (target!.state !== 'ready') {
			return;
		}

		target!.state = 'draining';
		const {engine} = target!;
		await this.#deployment.addSuccessor(target!, version);
		this.#note(`${engine.identifier} drains`);
		engine.leaving = true;
		await sleep(drainingMs);
		target!.state = 'gone';
		await this.#deployment.callOperatorApi(this.#deployment.control[0]!, 'DELETE', `/instances/${engine.identifier}`);

		this.#note(`${engine.identifier} has left`);
		await sleep(lingeringMs);
		while (engine.runRecords.some(({endedAt}) => endedAt === undefined)) {
			await sleep(pollMs); // eslint-disable-line no-await-in-loop
		}

		await engine.close();
		this.#note(`${engine.identifier} has ended`);
	}

	#note(name: string): void {
		this.steps.push({name, at: performance.now()});
	}

	#count({least, most}: {readonly least: number; readonly most: number}): number {
		return least + Math.floor(this.#random.next() * (most - least + 1));
	}

	#between({least, most}: {readonly least: number; readonly most: number}): number {
		return least + (this.#random.next() * (most - least));
	}

	#pick<Item>(items: readonly Item[]): Item {
		return items[Math.floor(this.#random.next() * items.length)]!;
	}
}
