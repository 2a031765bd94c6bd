import test from 'ava';
import type {Random} from '../../../src/core/common/random.ts';
import {SimulatedDeployment} from '../../fixtures/simulated-deployment.ts';
import type {SimulatedRequest} from '../../fixtures/simulated-request.ts';
import {promptPart} from '../../fixtures/prompt-part.ts';

/** Bound on the requests in any window: this share of what the limit allows, and some more. */
const windowMs = 4000;
const overage = 1.5;
const slack = 5;
/** Time after the target first named its limit from which on the bound holds, in milliseconds. */
const graceMs = 5000;
/** Time after which an entry that has been told counts, in milliseconds. */
const toldMs = 500;
/** Least share of what the limit allows that a target gets while requests press. */
const leastServed = 0.5;

function makeRequest(random: Random, number: number): SimulatedRequest {
	return {
		prompt: {parts: [promptPart(`first-${Math.floor(random.next() * 40)}`, 300), promptPart(`own-${number}`, 500)], promptTokens: 800, outputTokens: 24},
	};
}

type Play = {readonly seed: number; readonly limitPerSecond: number; readonly entriesPerRegion?: number; readonly perSecond?: number};

/** Two targets of a region name a limit after 5 s; returns the arrivals at each from then on. */
function play({seed, limitPerSecond, entriesPerRegion, perSecond = 40}: Play, disturb?: (deployment: SimulatedDeployment) => void) {
	const deployment = new SimulatedDeployment({seed, entriesPerRegion});
	deployment.start();
	deployment.run(3000);
	deployment.load({perSecond, ms: 35_000}, makeRequest);
	deployment.run(5000);
	const limited = deployment.targets.slice(0, 2);
	for (const target of limited) {
		target.limitPerSecond = limitPerSecond;
	}

	const namedAt = deployment.now;
	deployment.run(10_000);
	disturb?.(deployment);
	deployment.run(15_000);
	const endedAt = deployment.now;
	const arrivals = limited.map(({targetId}) => deployment.arrivals.filter(arrival => arrival.targetId === targetId && arrival.at >= namedAt));
	return {
		deployment, limited, arrivals, namedAt, endedAt,
	};
}

/** Most requests in any window, of entries that had been told, after the grace period. */
function mostInWindow(arrivals: SimulatedDeployment['arrivals'], namedAt: number): number {
	const counted = arrivals.filter(({at, told}) => at >= namedAt + graceMs && told !== undefined && told <= at - toldMs).map(({at}) => at);
	return Math.max(0, ...counted.map(from => counted.filter(at => at >= from && at < from + windowMs).length));
}

const allowed = (limitPerSecond: number) => (overage * limitPerSecond * windowMs / 1000) + slack;

for (const [limitPerSecond, entriesPerRegion] of [[1.1, 3], [1.8, 3], [8, 3], [0.4, 3], [1.1, 12]] as const) {
	const title = `limit ${limitPerSecond}, ${entriesPerRegion} entries a region`;
	test(`a target that names a limit gets no more than it allows, summed over the entries, ${title}`, t => {
		for (const seed of [1, 2, 3]) {
			const {arrivals, namedAt} = play({seed, limitPerSecond, entriesPerRegion});
			for (const list of arrivals) {
				t.true(mostInWindow(list, namedAt) <= allowed(limitPerSecond), `${mostInWindow(list, namedAt)} in 4 s, ${allowed(limitPerSecond)} allowed, seed ${seed}`);
			}
		}
	});

	test(`a target that names a limit still serves what it allows while requests press, ${title}`, t => {
		for (const seed of [1, 2, 3]) {
			// The load is far beyond what the other targets take at once.
			const {arrivals, namedAt, endedAt} = play({
				seed, limitPerSecond, entriesPerRegion, perSecond: 200,
			});
			const expected = leastServed * limitPerSecond * (endedAt - namedAt - graceMs) / 1000;
			for (const list of arrivals) {
				const got = list.filter(({at}) => at >= namedAt + graceMs).length;
				t.true(got >= expected, `${got} requests, at least ${expected.toFixed(1)} expected, seed ${seed}`);
			}
		}
	});
}

test('a limit holds through the restart of an entry and of all control nodes', t => {
	for (const seed of [1, 2, 3]) {
		const {arrivals, namedAt} = play({seed, limitPerSecond: 1.8}, running => {
			running.startEntry(0);
			for (const index of running.control.nodes.keys()) {
				running.control.kill(index, 1);
				running.control.start(index);
			}
		});
		for (const list of arrivals) {
			t.true(mostInWindow(list, namedAt) <= allowed(1.8), `${mostInWindow(list, namedAt)} in 4 s, seed ${seed}`);
		}
	}
});

test('a target that no longer names a limit gets requests as before', t => {
	const {deployment, limited} = play({seed: 1, limitPerSecond: 0.4}, ({targets}) => {
		for (const target of targets) {
			target.limitPerSecond = undefined;
		}
	});
	for (const {targetId} of limited) {
		const since = deployment.now - 8000;
		const got = deployment.arrivals.filter(arrival => arrival.targetId === targetId && arrival.at > since).length;
		t.true(got > 2 * 0.4 * 8, `${got} requests in 8 s`);
	}
});
