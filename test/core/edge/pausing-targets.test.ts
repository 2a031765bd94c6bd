import test from 'ava';
import {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {AnswerHead} from '../../../src/core/edge/answer-head.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';
import {servedShare} from '../../fixtures/served-share.ts';
import {SimulatedDeployment} from '../../fixtures/simulated-deployment.ts';
import {simulatedTraffics} from '../../fixtures/simulated-traffics.ts';

type Traffic = ReturnType<typeof simulatedTraffics>[number];

/** Time after a request for a pause from which on it holds, and requests that may arrive in it all the same. */
const graceMs = 500;
const allowedInPause = 2;
const seeds = [1, 2, 3];
const pausesMs = [700, 3000, 20_000];
/** Least share of the requests that is served while one target of four in a region pauses. */
const leastServed = 0.95;
/** Time within which a request that can't be served any more is refused, in milliseconds. */
const refusalMs = 100;

function start({route}: Traffic, seed: number, perRegion = 4): SimulatedDeployment {
	const deployment = new SimulatedDeployment({seed, route, targetsPerRegion: perRegion});
	deployment.start();
	deployment.run(3000);
	return deployment;
}

/** Pauses of an entry's process at a target in which more requests than allowed arrived from it. */
function brokenPauses({statements, arrivals}: SimulatedDeployment): readonly string[] {
	return statements.flatMap(({at, entry, run, targetId, pauseMs}) => {
		const count = arrivals.filter(arrival =>
			arrival.entry === entry && arrival.run === run && arrival.targetId === targetId && arrival.at > at + graceMs && arrival.at < at + (pauseMs ?? 0)).length;
		return count > allowedInPause ? [`${count} requests of entry ${entry} in a pause of ${targetId}`] : [];
	});
}

for (const traffic of simulatedTraffics()) {
	for (const pauseMs of pausesMs) {
		test(`a target that asks for a pause gets requests all the same, ${traffic.title}, ${pauseMs} ms`, t => {
			for (const seed of seeds) {
				const deployment = start(traffic, seed);
				const random = new SeededRandom(seed);
				const from = deployment.now;
				deployment.load({perSecond: 80, ms: 30_000}, (_, number) => traffic.requestAt(number));
				for (let turn = 0; turn < 6; turn++) {
					const target = deployment.targets[Math.floor(random.next() * deployment.targets.length)]!;
					target.askForPauses({pauseMs, forMs: 4000});
					deployment.run(2500);
					// Control and an entry start anew while pauses hold; an entry that does may ask once more.
					if (turn === 2) {
						deployment.control.restartAll();
					} else if (turn === 4) {
						deployment.startEntry(0);
					}

					deployment.run(2500);
				}

				t.true(deployment.statements.length > 0);
				t.deepEqual(brokenPauses(deployment), [], `seed ${seed}`);
				const calls = deployment.calls.filter(({sentAt}) => sentAt >= from && sentAt < from + 10_000);
				t.true(servedShare(calls) >= leastServed, `${servedShare(calls).toFixed(2)} served, seed ${seed}`);
			}
		});
	}

	test(`requests wait for targets that all pause past their deadline instead of being refused at once, ${traffic.title}`, t => {
		for (const seed of seeds) {
			const deployment = start(traffic, seed);
			for (const target of deployment.targets) {
				target.askForPauses({pauseMs: 10_000, forMs: 10_000});
			}

			deployment.load({perSecond: 80, ms: 4000}, (_, number) => traffic.requestAt(number));
			deployment.run(1500);
			const from = deployment.now;
			deployment.run(6000);
			t.deepEqual(brokenPauses(deployment), [], `seed ${seed}`);
			const calls = deployment.calls.filter(({sentAt}) => sentAt >= from);
			const late = calls.filter(({sentAt, refusedAt}) => (refusedAt ?? Number.POSITIVE_INFINITY) - sentAt > refusalMs);
			t.deepEqual(late, [], `seed ${seed}`);
			// Those that come back in time find the targets again: about 6 to 8 s are left of the pauses.
			const delays = calls.map(({retryAfterMs = 0}) => retryAfterMs);
			t.true(Math.min(...delays) >= 4000 && Math.max(...delays) <= 15_000, `${Math.min(...delays)} to ${Math.max(...delays)} ms, seed ${seed}`);
			t.true(new Set(delays).size > 10);
		}
	});

	test(`requests are refused although all targets pause for a moment only, ${traffic.title}`, t => {
		for (const seed of seeds) {
			const deployment = start(traffic, seed);
			for (const target of deployment.targets) {
				target.askForPauses({pauseMs: 1000, forMs: 1000});
			}

			deployment.load({perSecond: 60, ms: 500}, (_, number) => traffic.requestAt(number));
			deployment.run(500);
			const from = deployment.now;
			// Each entry has been told by all targets of its region by now; these requests have 3 s.
			deployment.load({perSecond: 20, ms: 1000}, (_, number) => traffic.requestAt(number));
			deployment.run(7000);
			t.deepEqual(brokenPauses(deployment), [], `seed ${seed}`);
			const calls = deployment.calls.filter(({sentAt}) => sentAt >= from);
			t.true(servedShare(calls) >= leastServed, `${servedShare(calls).toFixed(2)} served, seed ${seed}`);
		}
	});
}

test('requests that wait for the end of a pause keep others from a target that is free', t => {
	for (const waiting of [1, 30]) {
		const harness = new EdgeHarness({document: routesDocumentFixture({route: {timeoutMs: 30_000}}), slack: 1000});
		const targets = [listedTargetFixture('p'), listedTargetFixture('q')];
		const turnAway = (head: Partial<AnswerHead> = {}) => {
			harness.head(harness.lastStart().attempt, {
				status: 503, notRun: true, eventStream: false, ...head,
			});
		};

		harness.feed({targets});
		harness.request({budgetMs: 30_000});
		turnAway({retryAfterMs: 20_000});
		for (let turn = 0; turn < waiting; turn++) {
			// Turned away by the one that does not pause, it can only wait for the other.
			harness.run(200);
			harness.feed({targets});
			harness.request({budgetMs: 30_000});
			turnAway();
		}

		t.is(harness.refusals().length, 0);
		const before = harness.starts().length;
		harness.now += 10;
		harness.request({budgetMs: 1500});
		harness.run(1000);
		t.is(harness.starts().length, before + 1, `${waiting} wait`);
		t.is(harness.refusals().length, 0);
	}
});

test('a request that another region forwarded waits for a pause instead of going back', t => {
	const harness = new EdgeHarness();
	harness.feed({targets: [listedTargetFixture('p')]});
	harness.request();
	harness.head(harness.lastStart().attempt, {
		status: 503, notRun: true, eventStream: false, retryAfterMs: 1000,
	});
	const before = harness.refusals().length;
	harness.request({forwarded: {region: toId('winnipeg'), documentVersion: 1}});
	t.like(harness.refusals()[before], {reason: 'paused', ran: 'no'});
});

test('a caller whose request has used up its tries is told to return before the only target does', t => {
	const harness = new EdgeHarness({slack: 0, ratio: 0});
	harness.feed({targets: [listedTargetFixture('p')]});
	harness.request();
	harness.head(harness.lastStart().attempt, {
		status: 503, notRun: true, eventStream: false, retryAfterMs: 10_000,
	});
	const {retryAfterMs = 0} = harness.refusals().at(-1)!;
	t.true(retryAfterMs >= 10_000 && retryAfterMs <= 12_500, `${retryAfterMs} ms`);
});
