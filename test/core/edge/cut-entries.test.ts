import test from 'ava';
import type {CutManner} from '../../fixtures/cut-manner.ts';
import type {Region} from '../../../src/core/ids/region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {servedShare} from '../../fixtures/served-share.ts';
import {SimulatedDeployment} from '../../fixtures/simulated-deployment.ts';
import {simulatedTraffics} from '../../fixtures/simulated-traffics.ts';

/** Time after the cut began from which on callers of the entries that are cut off must be served like others, in milliseconds. */
const graceMs = 5000;
/** Least share of what is served at the other entries. */
const leastShare = 2 / 3;
const load = {perSecond: 60, ms: 40_000};
const cutMs = 20_000;

/** Entries 0 to 2 are of one region, 3 to 5 of the other. */
const cuts: ReadonlyArray<{readonly title: string; readonly indexes: readonly number[]; readonly homes?: readonly Region[]}> = [
	{title: 'some of each region', indexes: [0, 1, 4]},
	{title: 'all of a region', indexes: [0, 1, 2]},
	// Only the other entry of the region can send these requests.
	{title: 'some of the only home', indexes: [0, 1], homes: [toId('regina')]},
];

for (const {title, route, request} of simulatedTraffics()) {
	for (const cut of cuts) {
		for (const manner of ['hang', 'reset', 'live'] satisfies CutManner[]) {
			test(`callers of entries that are cut off from all targets are served like others, ${title}, ${cut.title}, ${manner}`, t => {
				for (const seed of [1, 2]) {
					const deployment = new SimulatedDeployment({seed, route: {...route, homes: cut.homes ?? []}});
					deployment.start();
					deployment.run(3000);
					deployment.load(load, () => request);
					deployment.run(5000);
					deployment.cutFromTargets(cut.indexes, manner);
					deployment.run(cutMs);
					const endedAt = deployment.now;
					deployment.heal();
					deployment.run(18_000);
					const during = deployment.calls.filter(({sentAt}) => sentAt >= endedAt - cutMs + graceMs && sentAt < endedAt);
					const [there, elsewhere] = [true, false].map(isCut => servedShare(during.filter(({entry}) => cut.indexes.includes(entry) === isCut)));
					t.true(there! >= leastShare * elsewhere!, `${there!.toFixed(2)} served there, ${elsewhere!.toFixed(2)} elsewhere, seed ${seed}`);
					const after = deployment.calls.filter(({sentAt}) => sentAt >= endedAt + graceMs);
					t.true(servedShare(after) >= 0.99, `${servedShare(after).toFixed(2)} served after the cut, seed ${seed}`);
				}
			});
		}
	}
}
