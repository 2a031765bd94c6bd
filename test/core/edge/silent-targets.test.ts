import test from 'ava';
import type {RouteRule} from '../../../src/core/routes/route-rule.ts';
import {SimulatedDeployment} from '../../fixtures/simulated-deployment.ts';
import type {SimulatedRequest} from '../../fixtures/simulated-request.ts';

/** How long a sound target falls silent before it goes on, in milliseconds. */
const silentMs = 1200;
const load = {perSecond: 40, ms: 40_000};
const leastServed = 0.95;
/** Bound on the requests that reach targets beyond the callers' own, as in the deployment's retry budget. */
const retryRatio = 0.2;
const retrySlack = 100;

const prompt: SimulatedRequest['prompt'] = {parts: [{id: 'first', tokens: 300}, {id: 'own', tokens: 500}], promptTokens: 800, outputTokens: 24};
const routes: ReadonlyArray<{readonly title: string; readonly route: Partial<RouteRule>; readonly request: SimulatedRequest}> = [
	{title: 'safe calls', route: {kind: 'safe'}, request: {}},
	{title: 'unsafe calls', route: {kind: 'unsafe', attempts: 1}, request: {}},
	{title: 'streams that may be resumed', route: {}, request: {prompt}},
	{title: 'streams that may not be resumed', route: {resumable: false, attempts: 1}, request: {prompt}},
];

for (const {title, route, request} of routes) {
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
				const served = calls.filter(({completed}) => completed).length / calls.length;
				t.true(served >= leastServed, `${served.toFixed(2)} served, seed ${seed}`);
				t.is(calls.filter(({refusal}) => refusal === 'contained').length, 0);
				t.true(arrivals.length <= ((1 + retryRatio) * calls.length) + retrySlack, `${arrivals.length} requests reached targets, ${calls.length} calls`);
			}
		});
	}
}
