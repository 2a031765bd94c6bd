import test from 'ava';
import {toId} from '../../../src/core/ids/to-id.ts';
import {choosePlacers} from '../../../src/core/registry/choose-placers.ts';
import type {EntryStatus} from '../../../src/core/registry/entry-status.ts';
import {summarizeRegions} from '../../../src/core/registry/summarize-regions.ts';

function entries(weights: readonly number[]): EntryStatus[] {
	return weights.map((weight, index) => ({
		nodeId: toId(`10.1.0.${index + 10}:7100`),
		region: toId('regina'),
		zone: toId('regina-a'),
		address: toId(`10.1.0.${index + 10}:80`),
		relayAddress: `10.1.0.${index + 10}:7101`,
		state: 'ready',
		weight,
		loads: [{
			service: toId('desk'), targets: 4, inFlight: 1, waiting: 0, startMs: weight * 100, extraMs: 0,
		}],
	}));
}

test('the largest entries are placers, as many as have half of the total weight', t => {
	const list = entries([...Array.from({length: 12}, () => 0.25), 1, 1, 1]);
	const placers = choosePlacers(list);
	t.deepEqual(placers.map(({weight}) => weight), [1, 1, 1]);
	t.deepEqual(choosePlacers([...list].reverse()), placers);
});

test('a small region has no placers', t => {
	t.deepEqual(choosePlacers(entries([1, 1, 1, 1])), []);
	const [summary] = summarizeRegions(entries([1, 1, 1, 1]), 0);
	t.false(summary!.hasPlacers);
	t.is(summary!.entries, 4);
});

test('the summary of a region with placers has the load of the placers only', t => {
	const [summary] = summarizeRegions(entries([...Array.from({length: 12}, () => 0.25), 1, 1, 1]), 0);
	t.true(summary!.hasPlacers);
	t.is(summary!.entries, 15);
	t.deepEqual(summary!.relayAddresses, ['10.1.0.22:7101', '10.1.0.23:7101', '10.1.0.24:7101']);
	t.is(summary!.loads[0]!.startMs, 100);
});
