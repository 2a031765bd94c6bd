import test from 'ava';
import type {Random} from '../../../src/core/common/random.ts';
import type {SimulatedCall} from '../../fixtures/simulated-call.ts';
import type {SimulatedRequest} from '../../fixtures/simulated-request.ts';
import {SimulatedDeployment} from '../../fixtures/simulated-deployment.ts';
import type {SimulatedTarget} from '../../fixtures/simulated-target.ts';
import {promptPart} from '../../fixtures/prompt-part.ts';

const fatalPart = 'fatal';
/** Time after the fifth crash from which on requests with the part may reach targets three times more, in milliseconds. */
const containmentMs = 5000;
const crashesToContain = 5;
const maxLaterArrivals = 3;
const soundLoad = {perSecond: 30, ms: 60_000};
/** Requests with the part a second, rare and frequent. */
const fatalRates = [0.5, 2, 10];
const fatalMs = 45_000;

/** A prompt with a first part that many have and a second part that few have. */
function soundRequest(random: Random, number: number): SimulatedRequest {
	return makeRequest([`first-${Math.floor(random.next() * 4)}`, `second-${Math.floor(random.next() * 200)}`], number);
}

function fatalRequest(random: Random, number: number): SimulatedRequest {
	return makeRequest([`first-${Math.floor(random.next() * 4)}`, fatalPart], number);
}

function makeRequest(shared: readonly string[], number: number): SimulatedRequest {
	return {
		prompt: {parts: [...shared.map(id => promptPart(id, 300)), promptPart(`own-${number}`, 500)], promptTokens: 1100, outputTokens: 24},
	};
}

function isFatal({prompt}: SimulatedRequest): boolean {
	return prompt!.parts.some(({id}) => id === fatalPart);
}

/** Share of the sound requests of a span whose answer began. */
function begunShare(calls: readonly SimulatedCall[], from: number, to: number): number {
	const sound = calls.filter(call => !isFatal(call) && call.sentAt >= from && call.sentAt < to);
	return sound.filter(({begun}) => begun).length / sound.length;
}

/** Plays sound traffic with `perSecond` fatal requests beside it from the tenth second on; `disturb` runs in the middle. */
function play({seed, perSecond}: {seed: number; perSecond: number}, disturb?: (deployment: SimulatedDeployment) => void): {deployment: SimulatedDeployment; start: number} {
	const deployment = new SimulatedDeployment({seed, fatalParts: new Set([fatalPart])});
	deployment.start();
	deployment.run(3000);
	const start = deployment.now;
	deployment.load(soundLoad, soundRequest);
	deployment.run(10_000);
	deployment.load({perSecond, ms: fatalMs}, fatalRequest);
	deployment.run(20_000);
	disturb?.(deployment);
	deployment.run(33_000);
	return {deployment, start};
}

function laterArrivals({crashes, arrivals}: SimulatedDeployment): number {
	const fifth = crashes[crashesToContain - 1] ?? Number.POSITIVE_INFINITY;
	return arrivals.filter(arrival => isFatal(arrival) && arrival.at > fifth + containmentMs).length;
}

for (const seed of [1, 2, 3]) {
	for (const perSecond of fatalRates) {
		test(`requests with a prompt part that crashes targets stop reaching targets, seed ${seed}, ${perSecond} a second`, t => {
			const {deployment} = play({seed, perSecond});
			t.true(deployment.crashes.length >= 2, 'the part crashes targets');
			t.true(laterArrivals(deployment) <= maxLaterArrivals, `${laterArrivals(deployment)} arrivals after containment`);
		});

		test(`sound requests are served beside a prompt part that crashes targets, seed ${seed}, ${perSecond} a second`, t => {
			const {deployment, start} = play({seed, perSecond});
			const before = begunShare(deployment.calls, start, start + 10_000);
			const lastCrash = deployment.crashes.slice(0, crashesToContain).at(-1)!;
			const during = begunShare(deployment.calls, lastCrash + (2 * containmentMs), start + 55_000);
			t.true(during >= before / 2, `${during.toFixed(2)} of the sound requests begin, ${before.toFixed(2)} before`);
		});

		test(`a prompt part that crashes targets stays contained through restarts of all processes, seed ${seed}, ${perSecond} a second`, t => {
			const {deployment} = play({seed, perSecond}, running => {
				running.restartAll();
			});
			t.true(laterArrivals(deployment) <= maxLaterArrivals, `${laterArrivals(deployment)} arrivals after containment`);
		});
	}
}

for (const [title, disturb] of [
	['targets that crash for another reason, one after the other', (targets: readonly SimulatedTarget[], second: number) => targets.slice(second % targets.length).slice(0, 1)],
	['targets of which three crash at once', (targets: readonly SimulatedTarget[], second: number) => second % 5 === 0 ? targets.slice(0, 3) : []],
] as const) {
	test(`no sound request is contained for ${title}`, t => {
		for (const perSecond of [8, 60]) {
			const {calls} = playSound({perSecond, seed: 1}, ({targets}, second) => {
				for (const target of disturb(targets.filter(({up}) => up), second)) {
					target.crash();
				}
			});
			t.is(calls.filter(({refusal}) => refusal === 'contained').length, 0);
		}
	});
}

test('no sound request is contained for connections that are reset while their targets live on', t => {
	for (const perSecond of [8, 60]) {
		const {calls} = playSound({perSecond, seed: 1}, ({targets}, second) => {
			for (const target of targets.filter((_, index) => (index + second) % 2 === 0)) {
				target.resetConnections();
			}
		});
		t.is(calls.filter(({refusal}) => refusal === 'contained').length, 0);
	}
});

/** Requests with the part for `ms` milliseconds, at a low rate, and then none. */
function playLong(ms: number, fatalParts: Set<string>): SimulatedDeployment {
	const deployment = new SimulatedDeployment({seed: 1, fatalParts});
	deployment.start();
	deployment.load({perSecond: 4, ms}, soundRequest);
	deployment.load({perSecond: 1, ms}, fatalRequest);
	deployment.run(20_000);
	return deployment;
}

test('a part that no longer crashes targets is served again after a trial', t => {
	const fatalParts = new Set([fatalPart]);
	const deployment = playLong(120_000, fatalParts);
	t.true(deployment.crashes.length >= 2, 'the part crashes targets');
	fatalParts.clear();
	deployment.run(100_000);
	const last = deployment.calls.filter(call => isFatal(call) && call.sentAt > deployment.now - 20_000);
	t.true(last.length > 0 && last.every(({completed}) => completed), `${last.filter(({completed}) => completed).length} of ${last.length} served`);
});

test('a part that goes on to crash targets reaches them three times more at most, however long its requests come', t => {
	const deployment = playLong(900_000, new Set([fatalPart]));
	deployment.run(880_000);
	t.true(deployment.crashes.length >= 2, 'the part crashes targets');
	t.true(laterArrivals(deployment) <= maxLaterArrivals, `${laterArrivals(deployment)} arrivals after containment`);
});

/** Plays sound traffic for 40 s with a disturbance each second. */
function playSound({seed, perSecond}: {seed: number; perSecond: number}, disturb: (deployment: SimulatedDeployment, second: number) => void): SimulatedDeployment {
	const deployment = new SimulatedDeployment({seed, fatalParts: new Set()});
	deployment.start();
	deployment.load({perSecond, ms: 43_000}, soundRequest);
	for (let second = 0; second < 40; second++) {
		deployment.run(1000);
		disturb(deployment, second);
	}

	deployment.run(5000);
	return deployment;
}
