import test from 'ava';
import type {TargetLoad} from '../../../src/core/edge/target-load.ts';
import {EdgeHarness} from '../../fixtures/edge-harness.ts';
import {listedTargetFixture} from '../../fixtures/listed-target-fixture.ts';

/** Answers one call with each load; returns how many figures were counted as ignored, by reason. */
function ignoredFigures(loads: ReadonlyArray<TargetLoad | undefined>): Readonly<Record<string, number>> {
	const harness = new EdgeHarness();
	harness.feed({targets: [listedTargetFixture('a')]});
	for (const load of loads) {
		harness.request();
		const {attempt} = harness.lastStart();
		harness.run(50);
		harness.head(attempt, {eventStream: false, load, hasUnreadableLoad: load === undefined ? true : undefined});
		harness.step({type: 'attempt-end', attempt, truncated: false});
	}

	const counts: Record<string, number> = {};
	for (const action of harness.actions) {
		if (action.type === 'count' && action.name === 'ignored_load_figures') {
			counts[action.reason!] = (counts[action.reason!] ?? 0) + 1;
		}
	}

	return counts;
}

const load = {running: 1, waiting: 0, slots: 6};

test('implausible load figures are counted, and plausible ones are not', t => {
	t.deepEqual(ignoredFigures([load, {...load, slowdown: 1}, {...load, slowdown: 4}]), {});
	const speeds = [-1, Number.NaN, 1, 11].map(slowdown => ({...load, slowdown}));
	t.deepEqual(ignoredFigures([undefined, ...speeds, {...load, waiting: 1e9}]), {unreadable: 1, speed: 3, requests: 1});
});
