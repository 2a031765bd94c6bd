import test from 'ava';
import {retryExcess} from '../../fixtures/retry-excess.ts';
import {SimulatedDeployment} from '../../fixtures/simulated-deployment.ts';

const repeats = {ratio: 0.2, slack: 50, windowMs: 10_000};

function excessOf({arrivals, calls}: SimulatedDeployment): number {
	return retryExcess(arrivals, calls.map(({sentAt}) => sentAt), repeats);
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
