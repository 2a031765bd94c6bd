import test from 'ava';
import type {Random} from '../../../src/core/common/random.ts';
import type {RouteRule} from '../../../src/core/routes/route-rule.ts';
import type {SimulatedCall} from '../../fixtures/simulated-call.ts';
import {SimulatedDeployment} from '../../fixtures/simulated-deployment.ts';
import type {SimulatedRequest} from '../../fixtures/simulated-request.ts';
import {promptPart} from '../../fixtures/prompt-part.ts';

const fatalContent = 'fatal';
/** Time after the third crash from which on the request may reach targets three times more, in milliseconds. */
const containmentMs = 5000;
const crashesToContain = 3;
const maxLaterArrivals = 3;
const soundLoad = {perSecond: 30, ms: 60_000};
/** Times a second at which the request comes, rare and frequent. */
const fatalRates = [0.5, 2, 10];
const fatalMs = 45_000;

type MakeRequest = (random: Random, number: number) => SimulatedRequest;

type Case = {
	readonly title: string;
	readonly route: Partial<RouteRule>;
	readonly targetsPerRegion: number;
	readonly sound: MakeRequest;
	readonly fatal: MakeRequest;
};

/** A prompt whose parts but the last many have. */
function makePrompt(random: Random, number: number): SimulatedRequest['prompt'] {
	return {
		parts: [promptPart(`first-${Math.floor(random.next() * 4)}`, 300), promptPart(`own-${number}`, 500)], promptTokens: 800, outputTokens: 24,
	};
}

const cases: readonly Case[] = [
	...(['safe', 'unsafe'] as const).map(kind => ({
		title: `${kind} calls`, route: {kind}, targetsPerRegion: 1, sound: () => ({}), fatal: () => ({content: fatalContent}),
	})),
	{
		title: 'streams, whose prompts share no other part than those of sound ones',
		route: {},
		targetsPerRegion: 4,
		sound: (random, number) => ({prompt: makePrompt(random, number)}),
		fatal: (random, number) => ({prompt: makePrompt(random, number), content: fatalContent}),
	},
];

function isFatal({content}: SimulatedRequest): boolean {
	return content === fatalContent;
}

/** Share of the sound requests of a span whose answer began. */
function begunShare(calls: readonly SimulatedCall[], from: number, to: number): number {
	const sound = calls.filter(call => !isFatal(call) && call.sentAt >= from && call.sentAt < to);
	return sound.filter(({begun}) => begun).length / sound.length;
}

/** Plays sound traffic, from its tenth second on with the fatal request `perSecond` times a second at any entry; `disturb` runs in the middle. */
function play(
	{route, targetsPerRegion, sound, fatal}: Case,
	{seed, perSecond}: {seed: number; perSecond: number},
	disturb?: (deployment: SimulatedDeployment) => void,
): {deployment: SimulatedDeployment; start: number} {
	const deployment = new SimulatedDeployment({
		seed, route, targetsPerRegion, fatalContents: new Set([fatalContent]),
	});
	deployment.start();
	deployment.run(3000);
	const start = deployment.now;
	deployment.load(soundLoad, sound);
	deployment.run(10_000);
	deployment.load({perSecond, ms: fatalMs}, fatal);
	deployment.run(20_000);
	disturb?.(deployment);
	deployment.run(33_000);
	return {deployment, start};
}

function laterArrivals({crashes, arrivals}: SimulatedDeployment): number {
	const third = crashes[crashesToContain - 1] ?? Number.POSITIVE_INFINITY;
	return arrivals.filter(arrival => isFatal(arrival) && arrival.at > third + containmentMs).length;
}

for (const played of cases) {
	for (const seed of [1, 2, 3]) {
		for (const perSecond of fatalRates) {
			const title = `${played.title}, seed ${seed}, ${perSecond} a second`;
			test(`a request that crashes targets stops reaching them, ${title}`, t => {
				const {deployment, start} = play(played, {seed, perSecond});
				t.true(deployment.crashes.length >= 2, 'the request crashes targets');
				t.true(laterArrivals(deployment) <= maxLaterArrivals, `${laterArrivals(deployment)} arrivals after containment, ${deployment.crashes.length} crashes`);
				const before = begunShare(deployment.calls, start, start + 10_000);
				const during = begunShare(deployment.calls, deployment.crashes.slice(0, crashesToContain).at(-1)! + (2 * containmentMs), start + 55_000);
				t.true(during >= before / 2, `${during.toFixed(2)} of the sound requests begin, ${before.toFixed(2)} before`);
				t.is(deployment.calls.filter(call => !isFatal(call) && call.refusal === 'contained').length, 0, 'no sound request is contained');
			});

			test(`a request that crashes targets stays contained through restarts of all processes, ${title}`, t => {
				const {deployment} = play(played, {seed, perSecond}, running => {
					running.restartAll();
				});
				t.true(laterArrivals(deployment) <= maxLaterArrivals, `${laterArrivals(deployment)} arrivals after containment, ${deployment.crashes.length} crashes`);
			});
		}
	}
}

test('a request that targets answer is not contained when targets crash for another reason', t => {
	const deployment = new SimulatedDeployment({seed: 1, route: {kind: 'safe'}, targetsPerRegion: 3});
	deployment.start();
	deployment.load({perSecond: 60, ms: 43_000}, random => ({content: `status-${Math.floor(random.next() * 3)}`}));
	for (let second = 0; second < 40; second++) {
		deployment.run(1000);
		deployment.targets.filter(({up}) => up)[second % 3]?.crash();
	}

	deployment.run(5000);
	t.is(deployment.calls.filter(({refusal}) => refusal === 'contained').length, 0);
});
