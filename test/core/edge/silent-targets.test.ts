import test from 'ava';
import {servedShare} from '../../fixtures/served-share.ts';
import {SimulatedDeployment} from '../../fixtures/simulated-deployment.ts';
import {simulatedTraffics} from '../../fixtures/simulated-traffics.ts';

/** How long a sound target falls silent before it goes on, in milliseconds. */
const silentMs = 1200;
const load = {perSecond: 40, ms: 40_000};
const leastServed = 0.95;
/** Bound on the requests that reach targets beyond the callers' own, as in the deployment's retry budget. */
const retryRatio = 0.2;
const retrySlack = 100;

for (const {title, route, request} of simulatedTraffics()) {
	for (const [which, everyMs, silence] of [
		['one after the other', 1500, ({targets}: SimulatedDeployment, round: number) => [targets[round % targets.length]!]],
		['all of a region at once', 6000, ({targets}: SimulatedDeployment, round: number) => targets.filter(({region}) => region === targets[round % 2 === 0 ? 0 : targets.length - 1]!.region)],
	] as const) {
		test(`callers are served while sound targets fall silent for a moment, ${title}, ${which}`, t => {
			for (const seed of [1, 2]) {
				const deployment = new SimulatedDeployment({seed, route, targetsPerRegion: 2});
				deployment.start();
				deployment.run(3000);
				deployment.load(load, () => request);
				for (let round = 0; round * everyMs < load.ms; round++) {
					for (const target of silence(deployment, round)) {
						target.silence(silentMs);
					}

					deployment.run(everyMs);
				}

				deployment.run(5000);
				const {calls, arrivals} = deployment;
				t.true(servedShare(calls) >= leastServed, `${servedShare(calls).toFixed(2)} served, seed ${seed}`);
				t.is(calls.filter(({refusal}) => refusal === 'contained').length, 0);
				t.true(calls.every(({pieces}) => pieces.every(({id}, index) => id === index + 1)), 'each event reaches its caller once and in order');
				t.true(arrivals.length <= ((1 + retryRatio) * calls.length) + retrySlack, `${arrivals.length} requests reached targets, ${calls.length} calls`);
			}
		});
	}
}
