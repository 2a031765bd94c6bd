import test from 'ava';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {regionLoadFixture} from '../../fixtures/region-load-fixture.ts';
import {servedShare} from '../../fixtures/served-share.ts';
import {SimulatedDeployment} from '../../fixtures/simulated-deployment.ts';
import {simulatedTraffics} from '../../fixtures/simulated-traffics.ts';

type Traffic = ReturnType<typeof simulatedTraffics>[number];

/** Time that the head of an answer needs from a target to an entry, in milliseconds. */
const hopMs = 1;
const seeds = [1, 2, 3];
/** Least requests at one of eight targets in the 9 s that it serves, of 80 a second. */
const leastRequests = 20;
/** Least share of the requests that is served while a target of each region leaves. */
const leastServed = 0.95;

function start({route}: Traffic, seed: number): SimulatedDeployment {
	const deployment = new SimulatedDeployment({seed, route});
	deployment.start();
	deployment.run(3000);
	return deployment;
}

/** Requests that an entry's process sent to a target after it had read that the target leaves. */
function sentInSpite({statements, arrivals}: SimulatedDeployment): readonly string[] {
	const known = new Map<string, number>();
	for (const {at, entry, run, targetId, leaving} of statements) {
		const key = `${targetId} from entry ${entry}, process ${run}`;
		if (leaving && !known.has(key)) {
			known.set(key, at + hopMs);
		}
	}

	return arrivals
		.map(({at, entry, run, targetId}) => ({at, key: `${targetId} from entry ${entry}, process ${run}`}))
		.filter(({at, key}) => at > (known.get(key) ?? Number.POSITIVE_INFINITY))
		.map(({key}) => key);
}

for (const traffic of simulatedTraffics()) {
	test(`a target that says in its answers that it leaves gets requests on, while control lists it as serving, ${traffic.title}`, t => {
		for (const seed of seeds) {
			const deployment = start(traffic, seed);
			const from = deployment.now;
			deployment.load({perSecond: 80, ms: 20_000}, (_, number) => traffic.requestAt(number));
			deployment.run(1000);
			const [first, ...others] = deployment.targets;
			const leaving = [first!, others.find(({region}) => region !== first!.region)!];
			for (const target of leaving) {
				target.leaving = true;
			}

			deployment.run(5000);
			// Control nodes that start anew know no target at first, and then list it as serving again.
			deployment.control.restartAll();
			deployment.run(6000);
			deployment.startEntry(0);
			deployment.run(13_000);
			t.true(deployment.statements.length > 0);
			t.deepEqual([...new Set(sentInSpite(deployment))], [], `seed ${seed}`);
			const calls = deployment.calls.filter(({sentAt}) => sentAt >= from && sentAt < from + 6000);
			t.true(servedShare(calls) >= leastServed, `${servedShare(calls).toFixed(2)} served, seed ${seed}`);
		}
	});

	test(`a target that took the address of one that left gets no requests, ${traffic.title}`, t => {
		for (const seed of seeds) {
			const deployment = start(traffic, seed);
			deployment.load({perSecond: 80, ms: 15_000}, (_, number) => traffic.requestAt(number));
			const [target] = deployment.targets;
			target!.leaving = true;
			const leftId = target!.targetId;
			deployment.run(3000);
			target!.crash();
			deployment.run(15_000);
			const arrivals = deployment.arrivals.filter(({targetId}) => targetId === target!.targetId);
			t.not(target!.targetId, leftId);
			t.true(arrivals.length >= leastRequests, `${arrivals.length} requests, seed ${seed}`);
		}
	});
}

test('a target that another entry passed on as leaving gets requests from the entry that forwarded to it', t => {
	for (const isListed of [true, false]) {
		const target = listedTargetFixture('a');
		const harness = new EdgeHarness();
		const regions = [regionLoadFixture('winnipeg', 'winnipeg:7101')];
		harness.feed({targets: [], regions});
		harness.request();
		t.is(harness.lastStart().address, 'winnipeg:7101');
		if (isListed) {
			harness.feed({targets: [target], regions});
		}

		harness.head(harness.lastStart().attempt, {eventStream: false, leavingTarget: {targetId: target.targetId, born: target.born}});
		harness.feed({targets: [target], regions});
		harness.request();
		t.is(harness.lastStart().address, 'winnipeg:7101');
		harness.feed({targets: [{...target, born: target.born + 1}], regions});
		harness.request();
		t.is(harness.lastStart().targetId, target.targetId);
	}
});

test('a target whose answer names another one as leaving keeps requests from that one', t => {
	const harness = new EdgeHarness();
	const [first, second] = [listedTargetFixture('a'), listedTargetFixture('b')];
	harness.feed({targets: [first, second]});
	harness.request();
	const own = harness.lastStart();
	const other = own.targetId === first.targetId ? second : first;
	harness.head(own.attempt, {
		status: 503, notRun: true, eventStream: false, leavingTarget: {targetId: other.targetId, born: other.born},
	});
	t.is(harness.lastStart().targetId, other.targetId);
});
