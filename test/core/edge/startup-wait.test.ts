import test from 'ava';
import {toId} from '../../../src/core/ids/to-id.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {servedShare} from '../../fixtures/served-share.ts';
import {SimulatedDeployment} from '../../fixtures/simulated-deployment.ts';
import {simulatedTraffics} from '../../fixtures/simulated-traffics.ts';

/** Least share of the requests that come from the restart on that must be served. */
const leastServed = 0.97;
const load = {perSecond: 60, ms: 20_000};

const sizes = [{entriesPerRegion: 9, seeds: [1, 2], traffics: simulatedTraffics()}, {entriesPerRegion: 98, seeds: [1], traffics: simulatedTraffics().slice(0, 1)}];

for (const {entriesPerRegion, seeds, traffics} of sizes) {
	for (const {title, route, request} of traffics) {
		test(`requests that come when everything has restarted are served, ${title}, ${2 * entriesPerRegion} entries`, t => {
			for (const seed of seeds) {
				const deployment = new SimulatedDeployment({seed, route, entriesPerRegion});
				deployment.start();
				deployment.run(3000);
				deployment.load(load, () => request);
				deployment.run(3000);
				deployment.restartAll();
				const restartedAt = deployment.now;
				deployment.run(10_000);
				const after = deployment.calls.filter(({sentAt}) => sentAt >= restartedAt && sentAt < restartedAt + 2000);
				t.true(after.length > 60);
				t.true(servedShare(after) >= leastServed, `${servedShare(after).toFixed(2)} served, seed ${seed}`);
			}
		});
	}
}

test('a request that comes before the routes is refused after a second at most, or a third of its time', t => {
	for (const {budgetMs, waitMs} of [{budgetMs: 9000, waitMs: 1000}, {budgetMs: 900, waitMs: 300}]) {
		const harness = new EdgeHarness();
		harness.request({budgetMs});
		harness.run(waitMs - 100);
		t.deepEqual(harness.refusals(), []);
		harness.run(200);
		t.like(harness.refusals(), [{reason: 'not-configured', ran: 'no'}]);
	}
});

test('a request that came before the routes is sent once they and a target are known, unless its caller has left', t => {
	const harness = new EdgeHarness();
	harness.request();
	harness.request();
	harness.step({type: 'caller-gone', requestId: toId('r1')});
	harness.feed({targets: [listedTargetFixture('a')]});
	harness.run(50);
	t.deepEqual(harness.starts().map(({requestId}) => requestId), [toId('r2')]);
});

test('a request that another entry forwarded before the routes are known is refused at once', t => {
	const harness = new EdgeHarness();
	harness.request({forwarded: {region: toId('winnipeg'), documentVersion: 1}});
	t.like(harness.refusals(), [{reason: 'not-configured'}]);
});

test('a service without targets refuses requests at once, unless the entry has just started', t => {
	const harness = new EdgeHarness();
	harness.feed();
	harness.request();
	t.deepEqual(harness.refusals(), []);
	harness.run(2400);
	t.like(harness.refusals(), [{reason: 'no-target'}]);
	harness.request();
	t.is(harness.refusals().length, 2);
});
