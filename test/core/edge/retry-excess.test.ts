import test from 'ava';
import {retryExcess} from '../../fixtures/retry-excess.ts';
import {SimulatedDeployment} from '../../fixtures/simulated-deployment.ts';

const repeats = {ratio: 0.2, slack: 50, windowMs: 10_000};
const breakMs = 15_000;
const breakEveryMs = 100;

function excessOf({arrivals, calls}: SimulatedDeployment): number {
	return retryExcess(arrivals, calls.map(({sentAt}) => sentAt), repeats);
}

/** A deployment under light load, so that the slack is most of the budget. */
function lightlyLoaded(seed: number): SimulatedDeployment {
	const deployment = new SimulatedDeployment({
		seed, route: {kind: 'safe', attempts: 4}, repeats, targetsPerRegion: 16,
	});
	deployment.start();
	deployment.run(15_000);
	deployment.load({perSecond: 15, ms: 70_000}, () => ({}));
	deployment.run(12_000);
	return deployment;
}

/** Breaks off all answers for a while from now on. */
function breakAnswers({control, targets}: SimulatedDeployment): void {
	for (let at = 0; at < breakMs; at += breakEveryMs) {
		control.events.scheduleAfter(at, () => {
			for (const target of targets) {
				target.resetConnections();
			}
		});
	}
}

test('requests that full targets reject in one region after another stay within the retry budget', t => {
	for (const seed of [1, 2]) {
		const deployment = new SimulatedDeployment({
			seed, route: {kind: 'safe'}, repeats, slots: 4,
		});
		for (const target of deployment.targets) {
			target.queueLimit = 0;
		}

		deployment.start();
		deployment.load({perSecond: 400, ms: 14_000}, () => ({}));
		deployment.run(15_000);
		const excess = excessOf(deployment);
		t.true(excess <= 0, `${excess} arrivals beyond the budget, seed ${seed}`);
		t.true(deployment.calls.some(({completed}) => completed));
	}
});

test('entries that hear of their own region only stay within the retry budget of the whole deployment', t => {
	for (const seed of [1, 2]) {
		const deployment = lightlyLoaded(seed);
		deployment.setRegionsApart(true);
		deployment.run(8000);
		breakAnswers(deployment);
		deployment.run(breakMs);
		const excess = excessOf(deployment);
		t.true(excess <= 0, `${excess} arrivals beyond the budget, seed ${seed}`);
	}
});

const restarts: ReadonlyArray<{readonly title: string; readonly delayMs: (entry: number) => number}> = [
	{title: 'all at once', delayMs: () => 5000},
	{title: 'one after another', delayMs: entry => 2000 + (entry * 1000)},
];

for (const {title, delayMs} of restarts) {
	test(`entries that restart, ${title}, do not use their parts of the retry budget anew`, t => {
		for (const seed of [1, 2]) {
			const deployment = lightlyLoaded(seed);
			for (const index of deployment.entries.keys()) {
				deployment.control.events.scheduleAfter(delayMs(index), () => {
					deployment.startEntry(index);
				});
			}

			breakAnswers(deployment);
			deployment.run(breakMs);
			const excess = excessOf(deployment);
			t.true(excess <= 0, `${excess} arrivals beyond the budget, seed ${seed}`);
		}
	});
}
