import test from 'ava';
import type {Random} from '../../../src/core/common/random.ts';
import type {Prompt} from '../../../src/core/edge/prompt.ts';
import type {SimulatedCall} from '../../fixtures/simulated-call.ts';
import {SimulatedDeployment} from '../../fixtures/simulated-deployment.ts';

const fatalPart = 'fatal';
/** Time after the fifth crash from which on requests with the part may reach targets three times more, in milliseconds. */
const containmentMs = 5000;
const crashesToContain = 5;
const maxLaterArrivals = 3;
const soundLoad = {perSecond: 30, ms: 60_000};
const fatalLoad = {perSecond: 2, ms: 45_000};

/** A prompt with a first part that many have and a second part that few have. */
function soundPrompt(random: Random, number: number): Prompt {
	return makePrompt([`first-${Math.floor(random.next() * 4)}`, `second-${Math.floor(random.next() * 200)}`], number);
}

function fatalPrompt(random: Random, number: number): Prompt {
	return makePrompt([`first-${Math.floor(random.next() * 4)}`, fatalPart], number);
}

function makePrompt(shared: readonly string[], number: number): Prompt {
	return {
		parts: [...shared.map(id => ({id, tokens: 300})), {id: `own-${number}`, tokens: 500}], promptTokens: 1100, outputTokens: 24,
	};
}

function isFatal({parts}: Prompt): boolean {
	return parts.some(({id}) => id === fatalPart);
}

/** Share of the sound requests of a span whose answer began. */
function begunShare(calls: readonly SimulatedCall[], from: number, to: number): number {
	const sound = calls.filter(({prompt, sentAt}) => !isFatal(prompt) && sentAt >= from && sentAt < to);
	return sound.filter(({begun}) => begun).length / sound.length;
}

/** Plays sound traffic with fatal requests beside it from the tenth second on; `disturb` runs in the middle. */
function play(seed: number, disturb?: (deployment: SimulatedDeployment) => void): {deployment: SimulatedDeployment; start: number} {
	const deployment = new SimulatedDeployment({seed, fatalParts: new Set([fatalPart])});
	deployment.start();
	deployment.run(3000);
	const start = deployment.now;
	deployment.load(soundLoad, soundPrompt);
	deployment.run(10_000);
	deployment.load(fatalLoad, fatalPrompt);
	deployment.run(20_000);
	disturb?.(deployment);
	deployment.run(33_000);
	return {deployment, start};
}

function laterArrivals({crashes, arrivals}: SimulatedDeployment): number {
	const fifth = crashes[crashesToContain - 1] ?? Number.POSITIVE_INFINITY;
	return arrivals.filter(({at, prompt}) => isFatal(prompt) && at > fifth + containmentMs).length;
}

for (const seed of [1, 2, 3]) {
	test(`requests with a prompt part that crashes targets stop reaching targets, seed ${seed}`, t => {
		const {deployment} = play(seed);
		t.true(deployment.crashes.length >= 2, 'the part crashes targets');
		t.true(laterArrivals(deployment) <= maxLaterArrivals, `${laterArrivals(deployment)} arrivals after containment`);
	});

	test(`sound requests are served beside a prompt part that crashes targets, seed ${seed}`, t => {
		const {deployment, start} = play(seed);
		const before = begunShare(deployment.calls, start, start + 10_000);
		const lastCrash = deployment.crashes.slice(0, crashesToContain).at(-1)!;
		const from = lastCrash + (2 * containmentMs);
		const during = begunShare(deployment.calls, from, start + 55_000);
		t.true(during >= before / 2, `${during.toFixed(2)} of the sound requests begin, ${before.toFixed(2)} before`);
	});

	test(`a prompt part that crashes targets stays contained through restarts of all processes, seed ${seed}`, t => {
		const {deployment} = play(seed, running => {
			running.restartAll();
		});
		t.true(laterArrivals(deployment) <= maxLaterArrivals, `${laterArrivals(deployment)} arrivals after containment`);
	});
}
